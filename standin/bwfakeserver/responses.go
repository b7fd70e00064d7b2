package bwfakeserver

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Content is what a sound response has, in its own framing.
type Content struct {
	// Fields are lines of the head.
	Fields []string
	Body   string
}

// Response is a way to respond to a request.
type Response struct {
	Name string
	// Sound means that the response is valid and complete. InBody means that only the end of
	// the body shows that it is not.
	Sound, InBody bool
	// Upload is the length that the body of a request must have; 0 means that it may have
	// any.
	Upload int
	// Tries is how often the response has to be played to requests with a body, since what
	// the client sees of it varies; 0 means once to all requests.
	Tries int
	// Send sends the response.
	Send func(*Exchange, Content)
}

const (
	// uploadBytes exceeds what the sockets buffer of an upload that is not read.
	uploadBytes = 12 << 20
	// endPause lets the client fill the sockets before the connection ends.
	endPause = 20 * time.Millisecond
	// earlyEndTries is for resets: either the writer or the reader gets the error.
	earlyEndTries = 5
)

// Responses returns all responses, sound and broken ones.
func Responses() []Response {
	return slices.Concat(SoundResponses(), InvalidStatuses(), InvalidFieldNames(), EarlyEnds())
}

// SoundResponses returns the ways in which a response may be framed.
func SoundResponses() []Response {
	return []Response{
		{Sound: true, Name: "length", Send: func(exc *Exchange, cnt Content) {
			exc.ReadBody()
			exc.sendFramed("200 OK", cnt)
		}},
		{Sound: true, Name: "length, informational response first", Send: func(exc *Exchange, cnt Content) {
			exc.ReadBody()
			exc.sendHead("103 Early Hints", "Link: x")
			exc.sendFramed("200 OK", cnt)
		}},
		{Sound: true, Name: "length, before the end of the upload", Upload: uploadBytes, Send: func(exc *Exchange, cnt Content) {
			exc.sendFramed("200 OK", cnt)
			exc.ReadBody()
		}},
		{Sound: true, Name: "chunks with a trailer", Send: func(exc *Exchange, cnt Content) {
			exc.ReadBody()
			exc.sendChunked(cnt, "X-Odd: 1")
		}},
		{Sound: true, Name: "end of the connection", Upload: uploadBytes, Send: func(exc *Exchange, cnt Content) {
			exc.ReadBody()
			exc.sendHead("200 OK", cnt.Fields...)
			exc.Send(cnt.Body)
		}},
	}
}

// InvalidStatuses returns responses with statuses that no final response may have.
func InvalidStatuses() []Response {
	var responses []Response
	for _, status := range []string{"000", "099", "600", "999", "+20", "-20"} {
		responses = append(responses, Response{Name: "status " + status, Send: func(exc *Exchange, cnt Content) {
			exc.ReadBody()
			exc.sendFramed(status+" Status", cnt)
		}})
	}
	return responses
}

// InvalidFieldNames returns responses in which the name of a field holds a byte that no
// name may hold: in the final head, in an informational one, in a trailer, and in place of
// the field with the body's length.
func InvalidFieldNames() []Response {
	responses := []Response{{Name: "length with a blank", Send: func(exc *Exchange, cnt Content) {
		exc.ReadBody()
		exc.sendHead("200 OK", append(cnt.Fields, fmt.Sprintf("Content-Length : %d", len(cnt.Body)))...)
		exc.Send(cnt.Body)
	}}}
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X-\x01Odd: 1", "X-Odd\t: 1", "X-\x7fOdd: 1"} {
		responses = append(
			responses,
			Response{Name: fmt.Sprintf("field %q", line), Send: func(exc *Exchange, cnt Content) {
				exc.ReadBody()
				exc.sendFramed("200 OK", Content{Fields: append(cnt.Fields, line), Body: cnt.Body})
			}},
			Response{Name: fmt.Sprintf("field %q in an informational response", line), Send: func(exc *Exchange, cnt Content) {
				exc.ReadBody()
				exc.sendHead("103 Early Hints", line)
				exc.sendFramed("200 OK", cnt)
			}},
			Response{Name: fmt.Sprintf("field %q in a trailer", line), InBody: true, Send: func(exc *Exchange, cnt Content) {
				exc.ReadBody()
				exc.sendChunked(cnt, line)
			}},
		)
	}
	return responses
}

// EarlyEnds returns responses without framing that end while the upload is still written.
func EarlyEnds() []Response {
	ends := []struct {
		name string
		end  func(*Exchange)
	}{
		{"reset", (*Exchange).Reset},
		{"reset after a pause", func(exc *Exchange) {
			exc.wait(endPause)
			exc.Reset()
		}},
		{"closed for writing", func(exc *Exchange) {
			exc.wait(endPause)
			_ = exc.Conn.(*net.TCPConn).CloseWrite()
			exc.wait(endPause)
		}},
	}
	var responses []Response
	for _, end := range ends {
		responses = append(responses, Response{Name: end.name, InBody: true, Upload: uploadBytes, Tries: earlyEndTries, Send: func(exc *Exchange, cnt Content) {
			exc.sendHead("200 OK", cnt.Fields...)
			exc.Send(cnt.Body)
			end.end(exc)
		}})
	}
	return responses
}

func (exc *Exchange) sendHead(status string, fields ...string) {
	exc.Send("HTTP/1.1 " + status + "\r\n" + strings.Join(append(fields, "", ""), "\r\n"))
}

// sendFramed sends a response with a length.
func (exc *Exchange) sendFramed(status string, cnt Content) {
	exc.sendHead(status, append(cnt.Fields, fmt.Sprintf("Content-Length: %d", len(cnt.Body)))...)
	exc.Send(cnt.Body)
}

// sendChunked sends a response in chunks, and a line of its trailer.
func (exc *Exchange) sendChunked(cnt Content, trailer string) {
	exc.sendHead("200 OK", append(cnt.Fields, "Transfer-Encoding: chunked")...)
	if cnt.Body != "" {
		exc.Send(fmt.Sprintf("%x\r\n%s\r\n", len(cnt.Body), cnt.Body))
	}
	exc.Send("0\r\n" + trailer + "\r\n\r\n")
}

// wait waits for a time.
func (exc *Exchange) wait(dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	<-timer.C
}
