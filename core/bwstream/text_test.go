package bwstream_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
)

const seed = 20261204

func properties(t *testing.T) *gopter.Properties {
	t.Logf("seed %d", seed)
	return gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
}

// splitTokens splits text into tokens of the given sizes in bytes, which are
// repeated as needed; without sizes each token has one byte.
func splitTokens(txt string, sizes []int) []bwmodel.Token {
	var toks []bwmodel.Token
	for ix := 0; len(txt) > 0; ix++ {
		size := 1
		if len(sizes) > 0 {
			size = min(sizes[ix%len(sizes)], len(txt))
		}
		toks = append(toks, bwmodel.Token{ID: bwmodel.TokenID(ix), Bytes: []byte(txt[:size])})
		txt = txt[size:]
	}
	return toks
}

// Guards against bytes that are lost or repeated when a caller reconnects within
// a character, and against an incomplete character at the end of the text.
func TestTextAssemblerResumesAtEveryCursor(t *testing.T) {
	texts := []string{"Lyžičkáreň ľúbi 🥄 drevo", "የባትሪ ማከማቻ ፈቃድ", "a\xc5\xbe\xff\xe1\x88", "\x80\x80é"}
	pps := properties(t)
	pps.Property("text is complete from every cursor", prop.ForAll(func(textIx int, sizes []int) bool {
		txt := texts[textIx]
		toks := splitTokens(txt, sizes)
		asm := bwstream.NewTextAssembler(bwstream.Cursor{})
		got := ""
		for _, tok := range toks {
			got += asm.Add(tok)
			cur := asm.Cursor()
			resumed := bwstream.NewTextAssembler(cur)
			remaining := ""
			for _, later := range toks[cur.Position:] {
				remaining += resumed.Add(later)
			}
			if got+remaining+resumed.Flush() != txt {
				return false
			}
		}
		got += asm.Flush()
		return got == txt && asm.Cursor() == bwstream.Cursor{Position: bwmodel.Position(len(toks))}
	}, gen.IntRange(0, len(texts)-1), gen.SliceOf(gen.IntRange(1, 7))))
	pps.TestingRun(t)
}

// Guards against a partial character in the text of an event.
func TestTextAssemblerBuffersIncompleteCharacters(t *testing.T) {
	asm := bwstream.NewTextAssembler(bwstream.Cursor{})
	steps := []struct {
		bytes, text string
		cursor      bwstream.Cursor
	}{
		{"a\xc5", "a", bwstream.Cursor{Offset: 1}},
		{"\xbeb\xe1", "žb", bwstream.Cursor{Position: 1, Offset: 2}},
		{"\x88", "", bwstream.Cursor{Position: 1, Offset: 2}},
		{"\xb0", "ሰ", bwstream.Cursor{Position: 4}},
	}
	for _, st := range steps {
		if got := asm.Add(bwmodel.Token{Bytes: []byte(st.bytes)}); got != st.text || asm.Cursor() != st.cursor {
			t.Errorf("after %q got %q at %+v, want %q at %+v", st.bytes, got, asm.Cursor(), st.text, st.cursor)
		}
	}
}

// Guards against a stop sequence that is delivered, in whole or in part, or missed
// because it spans tokens or a reconnect, and against text that stays buffered
// after the generation's end because it may begin a stop sequence.
func TestTextAssemblerEndsBeforeStopSequences(t *testing.T) {
	texts := []string{"ababac koniec", "Lyžičkáreň ľúbi drevo", "የባትሪ ማከማቻ ፈቃድ ፈቃ"}
	stops := [][]string{{"abac"}, {"bac", "abac"}, {"ľúbi", ""}, {" ፈቃድ ፈቃድ"}, {"ማከማቻ", "ፈቃድ"}, {"nikdy"}}
	pps := properties(t)
	pps.Property("text ends before the first stop sequence", prop.ForAll(func(textIx, stopIx int, sizes []int) bool {
		txt := texts[textIx]
		want := txt
		for _, stop := range stops[stopIx] {
			if head, _, found := strings.Cut(txt, stop); found && stop != "" && len(head) < len(want) {
				want = head
			}
		}
		toks := splitTokens(txt, sizes)
		asm := bwstream.NewTextAssembler(bwstream.Cursor{}, stops[stopIx]...)
		got := ""
		for _, tok := range toks {
			got += asm.Add(tok)
			cur := asm.Cursor()
			resumed := bwstream.NewTextAssembler(cur, stops[stopIx]...)
			remaining := ""
			for _, later := range toks[min(int(cur.Position), len(toks)):] {
				remaining += resumed.Add(later)
			}
			if got+remaining+resumed.Flush() != want || resumed.Stopped() != (want != txt) {
				return false
			}
		}
		return got+asm.Flush() == want && asm.Stopped() == (want != txt)
	}, gen.IntRange(0, len(texts)-1), gen.IntRange(0, len(stops)-1), gen.SliceOf(gen.IntRange(1, 7))))
	pps.TestingRun(t)
}

// Guards against handles that change when they are encoded and decoded.
func TestHandleRoundTrip(t *testing.T) {
	addrs := []netip.AddrPort{
		{},
		netip.MustParseAddrPort("10.1.2.3:7000"),
		netip.MustParseAddrPort("[2001:db8::1]:65535"),
	}
	pps := properties(t)
	pps.Property("ParseHandle returns the encoded handle", prop.ForAll(func(ep, pos uint64, off, holder, agent int) bool {
		hd := bwstream.Handle{
			Request: bwmodel.RequestID{1, 2, 15: 255},
			Epoch:   bwmodel.Epoch(ep),
			Holder:  addrs[holder],
			Agent:   addrs[agent],
			Cursor:  bwstream.Cursor{Position: bwmodel.Position(pos), Offset: off},
		}
		got, err := bwstream.ParseHandle(hd.String())
		return err == nil && got == hd && len(hd.String()) <= bwstream.MaxHandleLength
	}, gen.UInt64(), gen.UInt64(), gen.IntRange(0, 1024), gen.IntRange(0, 2), gen.IntRange(0, 2)))
	pps.TestingRun(t)
}

// Guards against a text that is accepted as a handle although String never returns it.
func TestParseHandleRefuses(t *testing.T) {
	good := bwstream.Handle{Request: bwmodel.RequestID{1}, Epoch: 1}.String()
	for _, txt := range []string{"", "!", good[:len(good)-1], good + "AA", "AA" + good[2:], strings.Repeat("A", 4096)} {
		if hd, err := bwstream.ParseHandle(txt); !errors.Is(err, bwstream.ErrInvalidHandle) {
			t.Errorf("%.20q: got %+v and %v, want ErrInvalidHandle", txt, hd, err)
		}
	}
}
