package bwroute_test

import (
	"slices"
	"strings"
	"testing"

	"bilberrywick/core/bwroute"
)

// Guards against prefixes that are not found, that are found for other texts or
// models, or that have blocks beyond the text that two prompts share.
func TestPrefixIndex(t *testing.T) {
	const model = "pisar"
	shared := strings.Repeat("Dielňa v Brezne vyrezáva lyžičky zo slivky. ", 20)
	common := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	idx := bwroute.NewPrefixIndex(bwroute.PrefixIndexConfig{})
	if got := idx.Lookup(model, shared); got != nil {
		t.Fatalf("an empty index returned %v, want nil", got)
	}
	first := append(slices.Clone(common), 21, 22)
	idx.Record(first, model, shared+"Prvé venovanie je pre krstňa menom Ondrej.")
	if got := idx.Lookup(model, shared+"Prvé venovanie je pre krstňa menom Ondrej."); !slices.Equal(got, first) {
		t.Errorf("same prompt: got %v, want %v", got, first)
	}
	got := idx.Lookup(model, shared+"Druhé")
	if len(got) < len(common)-2 || !slices.Equal(got, first[:len(got)]) {
		t.Errorf("second prompt after one was recorded: got %v, want about %v", got, common)
	}
	idx.Record(append(slices.Clone(common), 31, 32, 33), model, shared+"Druhé venovanie je pre krstňa menom Zuzana.")
	if got := idx.Lookup(model, shared+"Tretie"); !slices.Equal(got, common) {
		t.Errorf("third prompt after two were recorded: got %v, want %v", got, common)
	}
	for _, parts := range [][]string{{"other", shared + "Tretie"}, {model, "x" + shared}, {model + shared}, {model, "", shared}} {
		if got := idx.Lookup(parts...); got != nil {
			t.Errorf("%.20q: got %v, want nil", parts, got)
		}
	}
}

// Guards against an index that does not overwrite entries, or that fails for texts of
// certain lengths.
func TestPrefixIndexOverwrites(t *testing.T) {
	idx := bwroute.NewPrefixIndex(bwroute.PrefixIndexConfig{Entries: 4})
	for size := range 700 {
		txt := strings.Repeat("a", size) + "b"
		idx.Record([]uint64{uint64(size)}, txt)
		if got := idx.Lookup(txt); !slices.Equal(got, []uint64{uint64(size)}) {
			t.Fatalf("prompt of %d bytes just after it was recorded: got %v", size+1, got)
		}
	}
	long := strings.Repeat("c", 1<<20)
	idx.Record([]uint64{1, 2}, long)
	_ = idx.Lookup(long)
}
