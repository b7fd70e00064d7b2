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

// callerWriteTimeout closes the connection of a caller that reads nothing.
const callerWriteTimeout = 30 * time.Second

// output writes a generation to its caller, as events or as a single response.
type output struct {
	wrt http.ResponseWriter
	ctl *http.ResponseController
	// events is set once the first event is written.
	events         *bwhttp.EventWriter
	created        time.Time
	stream         bool
	returnTokenIDs bool
	rec            *bwstream.Record
	asm            *bwstream.TextAssembler
	// addedPosition is the position up to which tokens were added to the assembler.
	addedPosition bwmodel.Position
	sentCursor    bwstream.Cursor
	text          strings.Builder
	// eventBody is reused for each event; enc encodes it to buf.
	eventBody completionResponse
	buf       bytes.Buffer
	enc       *json.Encoder
}

func newOutput(wrt http.ResponseWriter, now time.Time, stream, returnTokenIDs bool, rec *bwstream.Record, from bwstream.Cursor) *output {
	out := &output{
		wrt:            wrt,
		ctl:            http.NewResponseController(wrt),
		created:        now,
		stream:         stream,
		returnTokenIDs: returnTokenIDs,
		rec:            rec,
		asm:            bwstream.NewTextAssembler(from, rec.Spec().Stop...),
		addedPosition:  from.Position,
		sentCursor:     from,
	}
	out.enc = json.NewEncoder(&out.buf)
	out.eventBody = out.newResponse()
	return out
}

// writeDeliverable writes the tokens up to the record's deliverable position.
func (out *output) writeDeliverable() error {
	deliverable := out.rec.DeliverablePosition()
	if deliverable <= out.addedPosition {
		return nil
	}
	txt := ""
	for _, tok := range out.rec.Tokens()[out.addedPosition:deliverable] {
		txt += out.asm.Add(tok)
	}
	out.addedPosition = deliverable
	return out.writeText(txt)
}

// finish writes the rest of the text and the reason why the generation ended. JSON
// can't hold an incomplete UTF-8 sequence at the end, so U+FFFD replaces it.
func (out *output) finish(reason bwmodel.FinishReason) error {
	txt := strings.ToValidUTF8(out.asm.Flush(), "\ufffd")
	if out.asm.Stopped() {
		reason = bwmodel.FinishStop
	}
	if !out.stream {
		out.text.WriteString(txt)
		return out.writeCompletion(reason)
	}
	if err := out.writeEvent(txt, &reason); err != nil {
		return err
	}
	return out.sendEvent(&bwhttp.Event{Data: []byte("[DONE]")})
}

// writeHandle sends a new handle in an event without text.
func (out *output) writeHandle() error {
	if !out.stream {
		return nil
	}
	return out.writeEvent("", nil)
}

// writeProblem sends the caller a problem, as an error event once the stream has begun.
func (out *output) writeProblem(prb bwhttp.Problem) {
	if out.events == nil {
		bwhttp.WriteProblem(out.wrt, prb)
		return
	}
	if buf, err := json.Marshal(prb); err == nil {
		// A write fails only when the caller has disconnected.
		_ = out.sendEvent(&bwhttp.Event{Name: "error", Data: buf})
	}
}

func (out *output) writeText(txt string) error {
	if !out.stream {
		out.text.WriteString(txt)
		return nil
	}
	if txt == "" {
		return nil
	}
	return out.writeEvent(txt, nil)
}

func (out *output) writeEvent(txt string, reason *bwmodel.FinishReason) error {
	cur := out.asm.Cursor()
	rsp := &out.eventBody
	cho := &rsp.Choices[0]
	if cho.Delta != nil {
		cho.Delta.Content = txt
	} else {
		cho.Text = &txt
	}
	cho.FinishReason = reason
	cho.TokenIDs = cho.TokenIDs[:0]
	if out.returnTokenIDs {
		for _, tok := range out.rec.Tokens()[out.sentCursor.Position:cur.Position] {
			cho.TokenIDs = append(cho.TokenIDs, tok.ID)
		}
	}
	if reason != nil {
		rsp.Usage = out.usage()
	}
	out.buf.Reset()
	if err := out.enc.Encode(rsp); err != nil {
		return err
	}
	out.sentCursor = cur
	return out.sendEvent(&bwhttp.Event{ID: out.rec.Handle(cur).String(), Data: bytes.TrimSuffix(out.buf.Bytes(), []byte{'\n'})})
}

// sendEvent writes one event, and the stream's header before the first.
func (out *output) sendEvent(evt *bwhttp.Event) error {
	// httptest recorders don't support deadlines; the server's limits still apply.
	_ = out.ctl.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
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

func (out *output) writeCompletion(reason bwmodel.FinishReason) error {
	rsp := out.newResponse()
	rsp.Usage = out.usage()
	txt := out.text.String()
	rsp.Choices[0].FinishReason = &reason
	if dlt := rsp.Choices[0].Delta; dlt != nil {
		rsp.Object = "chat.completion"
		rsp.Choices[0].Delta, rsp.Choices[0].Message = nil, dlt
		dlt.Content = txt
	} else {
		rsp.Choices[0].Text = &txt
	}
	if out.returnTokenIDs {
		for _, tok := range out.rec.Tokens() {
			rsp.Choices[0].TokenIDs = append(rsp.Choices[0].TokenIDs, tok.ID)
		}
	}
	if err := bwhttp.WriteJSON(out.wrt, http.StatusOK, rsp); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// newResponse returns a response with the fields that are the same in every event.
func (out *output) newResponse() completionResponse {
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
	prompt, generated := len(out.rec.PromptTokens()), len(out.rec.Tokens())
	return &completionUsage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
}
