package bwrouter

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
)

// callerWriteTime ends the connection of a caller that takes nothing.
const callerWriteTime = 30 * time.Second

// output writes a generation to its caller, as events or as one response.
type output struct {
	wrt     http.ResponseWriter
	ctl     *http.ResponseController
	created time.Time
	stream  bool
	ids     bool
	rec     *bwstream.Record
	asm     *bwstream.Assembler
	// added is the position up to which the assembler has the tokens.
	added bwmodel.Position
	sent  bwstream.Mark
	text  string
	begun bool
}

func newOutput(wrt http.ResponseWriter, now time.Time, stream, ids bool, rec *bwstream.Record, from bwstream.Mark) *output {
	return &output{
		wrt:     wrt,
		ctl:     http.NewResponseController(wrt),
		created: now,
		stream:  stream,
		ids:     ids,
		rec:     rec,
		asm:     bwstream.NewAssembler(from),
		added:   from.Position,
		sent:    from,
	}
}

// advance delivers what the record allows.
func (out *output) advance() error {
	covered := out.rec.Covered()
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
	if !out.stream {
		out.text += txt
		return out.writeWhole(why)
	}
	if err := out.writeEvent(txt, &why); err != nil {
		return err
	}
	return out.write("data: [DONE]\n\n")
}

// refresh sends a new handle without text.
func (out *output) refresh() error {
	if !out.stream {
		return nil
	}
	return out.writeEvent("", nil)
}

// fail tells the caller that the generation can't go on here.
func (out *output) fail(prb problem) {
	if !out.begun {
		writeProblem(out.wrt, prb)
		return
	}
	buf, err := json.Marshal(prb)
	if err == nil {
		_ = out.write(fmt.Sprintf("event: error\ndata: %s\n\n", buf))
	}
}

func (out *output) add(txt string) error {
	if !out.stream {
		out.text += txt
		return nil
	}
	if txt == "" {
		return nil
	}
	return out.writeEvent(txt, nil)
}

func (out *output) writeEvent(txt string, why *bwmodel.FinishReason) error {
	mk := out.asm.Mark()
	rsp := out.response(why)
	if len(out.rec.Spec().Messages) > 0 {
		rsp.Choices[0].Delta = &chatMessage{Role: "assistant", Content: txt}
	} else {
		rsp.Choices[0].Text = &txt
	}
	if out.ids {
		for _, tok := range out.rec.Tokens()[out.sent.Position:mk.Position] {
			rsp.Choices[0].TokenIDs = append(rsp.Choices[0].TokenIDs, tok.ID)
		}
	}
	if why != nil {
		rsp.Usage = out.usage()
	}
	buf, err := json.Marshal(rsp)
	if err != nil {
		return err
	}
	out.sent = mk
	return out.write(fmt.Sprintf("id: %s\ndata: %s\n\n", out.rec.Handle(mk), buf))
}

func (out *output) write(txt string) error {
	if !out.begun {
		out.begun = true
		hdr := out.wrt.Header()
		hdr.Set("Content-Type", "text/event-stream")
		hdr.Set("Cache-Control", "no-store")
		out.wrt.WriteHeader(http.StatusOK)
	}
	_ = out.ctl.SetWriteDeadline(time.Now().Add(callerWriteTime))
	if _, err := out.wrt.Write([]byte(txt)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return out.ctl.Flush()
}

func (out *output) writeWhole(why bwmodel.FinishReason) error {
	rsp := out.response(&why)
	rsp.Usage = out.usage()
	if len(out.rec.Spec().Messages) > 0 {
		rsp.Object = "chat.completion"
		rsp.Choices[0].Message = &chatMessage{Role: "assistant", Content: out.text}
	} else {
		rsp.Choices[0].Text = &out.text
	}
	if out.ids {
		for _, tok := range out.rec.Tokens() {
			rsp.Choices[0].TokenIDs = append(rsp.Choices[0].TokenIDs, tok.ID)
		}
	}
	out.begun = true
	out.wrt.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(out.wrt).Encode(rsp); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

func (out *output) response(why *bwmodel.FinishReason) *completionResponse {
	spec := out.rec.Spec()
	object, prefix := "text_completion", "cmpl-"
	if len(spec.Messages) > 0 {
		object, prefix = "chat.completion.chunk", "chatcmpl-"
	}
	return &completionResponse{
		ID:      prefix + out.rec.Request().String(),
		Object:  object,
		Created: spec.Created.Unix(),
		Model:   spec.Model,
		Choices: []completionChoice{{FinishReason: why}},
	}
}

func (out *output) usage() *completionUsage {
	prompt, made := len(out.rec.PromptTokens()), len(out.rec.Tokens())
	return &completionUsage{PromptTokens: prompt, CompletionTokens: made, TotalTokens: prompt + made}
}
