package bwobserve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"
)

// Explanation holds the log lines that describe one request.
type Explanation struct {
	Request string
	// Members are the processes that logged lines of the request.
	Members []string
	// Events are the request's lines and the lines without a request that the
	// same processes logged from 5 s before the first of them to the last.
	Events []ExplainedEvent
	// Outcome is the last "request ended" line of the request; nil if there is none.
	Outcome *ExplainedEvent
	// Causes summarize the warnings and errors among Events, in order of time.
	Causes []string
}

// ExplainedEvent is one line of a log.
type ExplainedEvent struct {
	Time    time.Time
	Member  string
	Level   string
	Message string
	// Request is empty for lines that don't belong to a request.
	Request string
	// Fields are the fields that are specific to the message.
	Fields map[string]any
}

// endMessage is the message of the last line of each request.
const endMessage = "request ended"

// contextBefore is how long before a request's first line other lines of its
// processes are included: an outage that explains a failure may have started
// before the request.
const contextBefore = 5 * time.Second

// maxLogLine limits the length of a log line in bytes.
const maxLogLine = 1 << 20

// Explain reads a log, whose lines may be in any order, and returns the lines
// that describe a request. It skips lines without a JSON object and ignores the
// text before the object. It returns an error when reading fails, a line is
// longer than 1 MiB, or no line belongs to the request.
func Explain(log io.Reader, request string) (*Explanation, error) {
	var all []ExplainedEvent
	scn := bufio.NewScanner(log)
	scn.Buffer(nil, maxLogLine)
	for scn.Scan() {
		if evt, ok := parseLine(scn.Bytes()); ok && (evt.Request == "" || evt.Request == request) {
			all = append(all, evt)
		}
	}
	if err := scn.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	sort.SliceStable(all, func(ia, ib int) bool { return all[ia].Time.Before(all[ib].Time) })
	exp := &Explanation{Request: request}
	exp.collect(all)
	if len(exp.Members) == 0 {
		return nil, fmt.Errorf("no line of request %q", request)
	}
	return exp, nil
}

func (exp *Explanation) collect(all []ExplainedEvent) {
	var first, last time.Time
	members := make(map[string]bool)
	for _, evt := range all {
		if evt.Request == "" {
			continue
		}
		if first.IsZero() {
			first = evt.Time
		}
		last = evt.Time
		if !members[evt.Member] {
			members[evt.Member] = true
			exp.Members = append(exp.Members, evt.Member)
		}
	}
	for ix, evt := range all {
		ofRequest := evt.Request != ""
		isContext := members[evt.Member] && !evt.Time.Before(first.Add(-contextBefore)) && !evt.Time.After(last)
		if !ofRequest && !isContext {
			continue
		}
		exp.Events = append(exp.Events, evt)
		if ofRequest && evt.Message == endMessage {
			exp.Outcome = &all[ix]
		}
		if evt.Level == "WARN" || evt.Level == "ERROR" {
			exp.Causes = append(exp.Causes, evt.cause())
		}
	}
}

func (evt ExplainedEvent) cause() string {
	text := evt.Member + ": " + evt.Message
	for _, name := range []string{"Upstream", "Table", "Status", "Reason", "Error"} {
		if val, ok := evt.Fields[name]; ok && val != "" && val != nil {
			text += fmt.Sprintf(", %s %v", name, val)
		}
	}
	return text
}

// commonFields are the fields that are not specific to a message.
var commonFields = []string{"Time", "Level", "Message", "Member", "Request", "Incarnation", "Role", "Region", "Zone", "Version"}

func parseLine(line []byte) (ExplainedEvent, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return ExplainedEvent{}, false
	}
	var common struct {
		Time                            time.Time
		Member, Level, Message, Request string
	}
	fields := make(map[string]any)
	if json.Unmarshal(line[start:], &common) != nil || json.Unmarshal(line[start:], &fields) != nil || common.Message == "" {
		return ExplainedEvent{}, false
	}
	for _, name := range commonFields {
		delete(fields, name)
	}
	return ExplainedEvent{Time: common.Time, Member: common.Member, Level: common.Level, Message: common.Message, Request: common.Request, Fields: fields}, true
}

// WriteText writes the explanation as text; it marks the request's own lines with "*".
func (exp *Explanation) WriteText(out io.Writer) error {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "request %s at %v\n", exp.Request, exp.Members)
	for _, evt := range exp.Events {
		mark := " "
		if evt.Request != "" {
			mark = "*"
		}
		fields, err := json.Marshal(evt.Fields)
		if err != nil {
			return fmt.Errorf("encode fields: %w", err)
		}
		fmt.Fprintf(&buf, "%s %s %-5s %s: %s %s\n", mark, evt.Time.Format("15:04:05.000"), evt.Level, evt.Member, evt.Message, fields)
	}
	if exp.Outcome != nil {
		fmt.Fprintf(&buf, "ended with status %v: %v\n", exp.Outcome.Fields["Status"], exp.Outcome.Fields["Reason"])
	} else {
		fmt.Fprintln(&buf, "no line has the outcome: the process ended abruptly, or the line was dropped")
	}
	for _, cause := range exp.Causes {
		fmt.Fprintf(&buf, "cause: %s\n", cause)
	}
	_, err := out.Write(buf.Bytes())
	return err
}
