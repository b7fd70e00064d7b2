package bwroute_test

import (
	"slices"
	"strings"
	"testing"

	"bilberrywick/core/bwroute"
)

// Guards against prefixes that are not found again, are found for other texts
// or models, or name blocks beyond the text that two prompts share.
func TestPrefixIndex(t *testing.T) {
	const model = "pisar"
	shared := strings.Repeat("Dielňa v Brezne vyrezáva lyžičky zo slivky. ", 20)
	common := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	idx := bwroute.NewPrefixIndex(bwroute.PrefixIndexConfig{})
	if got := idx.Lookup(model, shared); got != nil {
		t.Fatalf("an empty index knows %v", got)
	}
	first := append(slices.Clone(common), 21, 22)
	idx.Record(first, model, shared+"Prvé venovanie je pre krstňa menom Ondrej.")
	if got := idx.Lookup(model, shared+"Prvé venovanie je pre krstňa menom Ondrej."); !slices.Equal(got, first) {
		t.Errorf("the same prompt has %v, want %v", got, first)
	}
	got := idx.Lookup(model, shared+"Druhé")
	if len(got) < len(common)-2 || !slices.Equal(got, first[:len(got)]) {
		t.Errorf("another prompt after one has %v, want about %v", got, common)
	}
	idx.Record(append(slices.Clone(common), 31, 32, 33), model, shared+"Druhé venovanie je pre krstňa menom Zuzana.")
	if got := idx.Lookup(model, shared+"Tretie"); !slices.Equal(got, common) {
		t.Errorf("another prompt after two has %v, want %v", got, common)
	}
	for _, parts := range [][]string{{"other", shared + "Tretie"}, {model, "x" + shared}, {model + shared}, {model, "", shared}} {
		if got := idx.Lookup(parts...); got != nil {
			t.Errorf("%.20q has %v, want nothing", parts, got)
		}
	}
}

// Guards against an index that grows, or that fails for texts of any length.
func TestPrefixIndexOverwrites(t *testing.T) {
	idx := bwroute.NewPrefixIndex(bwroute.PrefixIndexConfig{Entries: 4})
	for size := range 700 {
		txt := strings.Repeat("a", size) + "b"
		idx.Record([]uint64{uint64(size)}, txt)
		if got := idx.Lookup(txt); !slices.Equal(got, []uint64{uint64(size)}) {
			t.Fatalf("a prompt of %d bytes has %v just after it was learned", size+1, got)
		}
	}
	long := strings.Repeat("c", 1<<20)
	idx.Record([]uint64{1, 2}, long)
	_ = idx.Lookup(long)
}
