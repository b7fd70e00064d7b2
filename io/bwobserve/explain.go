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

// Explanation is what a log says of one request.
type Explanation struct {
	Request string
	// Members are the processes that wrote of it.
	Members []string
	// Events are the request's lines and, between the first and the last of
	// them, the lines of the same processes that belong to no request.
	Events []ExplainedEvent
	// Outcome is the last line that says how the request ended; nil if none does.
	Outcome *ExplainedEvent
	// Causes are the failures on the way, the first one first.
	Causes []string
}

// ExplainedEvent is one line of a log.
type ExplainedEvent struct {
	Time    time.Time
	Member  string
	Level   string
	Message string
	// Request is empty for what a process believed meanwhile.
	Request string
	// Fields are the line's other fields.
	Fields map[string]any
}

// endMessage is the last line of each request.
const endMessage = "request ended"

// contextTime is how long before a request's first line the processes' own
// lines are taken in: an outage that explains it may have begun earlier.
const contextTime = 5 * time.Second

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

// Explain reads a log, in any order of its lines, and returns what it says of a
// request. Lines that are no JSON objects are skipped; what stands before the
// object on a line is ignored.
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
		own := evt.Request != ""
		near := members[evt.Member] && !evt.Time.Before(first.Add(-contextTime)) && !evt.Time.After(last)
		if !own && !near {
			continue
		}
		exp.Events = append(exp.Events, evt)
		if own && evt.Message == endMessage {
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

// ownFields are those that each line has.
var ownFields = []string{"Time", "Level", "Message", "Member", "Request", "Incarnation", "Role", "Region", "Zone", "Version"}

func parseLine(line []byte) (ExplainedEvent, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return ExplainedEvent{}, false
	}
	var head struct {
		Time                            time.Time
		Member, Level, Message, Request string
	}
	fields := make(map[string]any)
	if json.Unmarshal(line[start:], &head) != nil || json.Unmarshal(line[start:], &fields) != nil || head.Message == "" {
		return ExplainedEvent{}, false
	}
	for _, name := range ownFields {
		delete(fields, name)
	}
	return ExplainedEvent{Time: head.Time, Member: head.Member, Level: head.Level, Message: head.Message, Request: head.Request, Fields: fields}, true
}

// WriteText writes the explanation for people to read.
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
		fmt.Fprintln(&buf, "no line says how it ended: the process was lost, or the line was left out")
	}
	for _, cause := range exp.Causes {
		fmt.Fprintf(&buf, "cause: %s\n", cause)
	}
	_, err := out.Write(buf.Bytes())
	return err
}
