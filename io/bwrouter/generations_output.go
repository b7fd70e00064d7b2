package bwrouter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwhttp"
)

// callerWriteTime ends the connection of a caller that takes nothing.
const callerWriteTime = 30 * time.Second

// output writes a generation to its caller, as events or as one response.
type output struct {
	wrt http.ResponseWriter
	ctl *http.ResponseController
	// events is set once the first event is written.
	events  *bwhttp.EventWriter
	created time.Time
	stream  bool
	ids     bool
	rec     *bwstream.Record
	asm     *bwstream.TextAssembler
	// added is the position up to which the assembler has the tokens.
	added bwmodel.Position
	sent  bwstream.Cursor
	text  strings.Builder
	// chunk is the body of each event, and enc writes it to buf.
	chunk completionResponse
	buf   bytes.Buffer
	enc   *json.Encoder
}

func newOutput(wrt http.ResponseWriter, now time.Time, stream, ids bool, rec *bwstream.Record, from bwstream.Cursor) *output {
	out := &output{
		wrt:     wrt,
		ctl:     http.NewResponseController(wrt),
		created: now,
		stream:  stream,
		ids:     ids,
		rec:     rec,
		asm:     bwstream.NewTextAssembler(from, rec.Spec().Stop...),
		added:   from.Position,
		sent:    from,
	}
	out.enc = json.NewEncoder(&out.buf)
	out.chunk = out.response()
	return out
}

// advance delivers what the record allows.
func (out *output) advance() error {
	covered := out.rec.DeliverablePosition()
	if covered <= out.added {
		return nil
	}
	txt := ""
	for _, tok := range out.rec.Tokens()[out.added:covered] {
		txt += out.asm.Add(tok)
	}
	out.added = covered
	return out.add(txt)
}

// end delivers the rest and why the generation ended. JSON can't carry a
// character whose last bytes were never generated; U+FFFD stands for it.
func (out *output) end(why bwmodel.FinishReason) error {
	txt := strings.ToValidUTF8(out.asm.Flush(), "\ufffd")
	if out.asm.Stopped() {
		why = bwmodel.FinishStop
	}
	if !out.stream {
		out.text.WriteString(txt)
		return out.writeWhole(why)
	}
	if err := out.writeEvent(txt, &why); err != nil {
		return err
	}
	return out.send(&bwhttp.Event{Data: []byte("[DONE]")})
}

// refresh sends a new handle without text.
func (out *output) refresh() error {
	if !out.stream {
		return nil
	}
	return out.writeEvent("", nil)
}

// fail tells the caller that the generation can't go on here.
func (out *output) fail(prb bwhttp.Problem) {
	if out.events == nil {
		bwhttp.WriteProblem(out.wrt, prb)
		return
	}
	if buf, err := json.Marshal(prb); err == nil {
		// A caller that has gone needs no error.
		_ = out.send(&bwhttp.Event{Name: "error", Data: buf})
	}
}

func (out *output) add(txt string) error {
	if !out.stream {
		out.text.WriteString(txt)
		return nil
	}
	if txt == "" {
		return nil
	}
	return out.writeEvent(txt, nil)
}

func (out *output) writeEvent(txt string, why *bwmodel.FinishReason) error {
	mk := out.asm.Cursor()
	rsp := &out.chunk
	cho := &rsp.Choices[0]
	if cho.Delta != nil {
		cho.Delta.Content = txt
	} else {
		cho.Text = &txt
	}
	cho.FinishReason = why
	cho.TokenIDs = cho.TokenIDs[:0]
	if out.ids {
		for _, tok := range out.rec.Tokens()[out.sent.Position:mk.Position] {
			cho.TokenIDs = append(cho.TokenIDs, tok.ID)
		}
	}
	if why != nil {
		rsp.Usage = out.usage()
	}
	out.buf.Reset()
	if err := out.enc.Encode(rsp); err != nil {
		return err
	}
	out.sent = mk
	return out.send(&bwhttp.Event{ID: out.rec.Handle(mk).String(), Data: bytes.TrimSuffix(out.buf.Bytes(), []byte{'\n'})})
}

// send writes one event, and the head of the stream before the first.
func (out *output) send(evt *bwhttp.Event) error {
	// Recorders in tests have no deadline; the bound on the connection remains.
	_ = out.ctl.SetWriteDeadline(time.Now().Add(callerWriteTime))
	if out.events == nil {
		var err error
		if out.events, err = bwhttp.NewEventWriter(out.wrt); err != nil {
			return fmt.Errorf("write to caller: %w", err)
		}
	}
	if err := out.events.Write(evt); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (out *output) writeWhole(why bwmodel.FinishReason) error {
	rsp := out.response()
	rsp.Usage = out.usage()
	txt := out.text.String()
	rsp.Choices[0].FinishReason = &why
	if dlt := rsp.Choices[0].Delta; dlt != nil {
		rsp.Object = "chat.completion"
		rsp.Choices[0].Delta, rsp.Choices[0].Message = nil, dlt
		dlt.Content = txt
	} else {
		rsp.Choices[0].Text = &txt
	}
	if out.ids {
		for _, tok := range out.rec.Tokens() {
			rsp.Choices[0].TokenIDs = append(rsp.Choices[0].TokenIDs, tok.ID)
		}
	}
	if err := bwhttp.WriteJSON(out.wrt, http.StatusOK, rsp); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// response returns the parts that are the same in every event.
func (out *output) response() completionResponse {
	spec := out.rec.Spec()
	rsp := completionResponse{
		ID:      "cmpl-" + out.rec.Request().String(),
		Object:  "text_completion",
		Created: spec.Created.Unix(),
		Model:   spec.Model,
		Choices: []completionChoice{{}},
	}
	if len(spec.Messages) > 0 {
		rsp.ID = "chat" + rsp.ID
		rsp.Object = "chat.completion.chunk"
		rsp.Choices[0].Delta = &chatMessage{Role: "assistant"}
	}
	return rsp
}

func (out *output) usage() *completionUsage {
	prompt, made := len(out.rec.PromptTokens()), len(out.rec.Tokens())
	return &completionUsage{PromptTokens: prompt, CompletionTokens: made, TotalTokens: prompt + made}
}
