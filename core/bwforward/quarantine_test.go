package bwforward_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// quarantineTest is a Quarantine with a clock.
type quarantineTest struct {
	*bwforward.Quarantine
	now   time.Time
	drops map[bwforward.QuarantineDrop]int
}

func newQuarantineTest() *quarantineTest {
	qt := &quarantineTest{now: time.Unix(1_000_000, 0), drops: make(map[bwforward.QuarantineDrop]int)}
	qt.Quarantine = bwforward.NewQuarantine(bwforward.QuarantineConfig{Now: func() time.Time { return qt.now }, OnDrop: func(drop bwforward.QuarantineDrop) { qt.drops[drop]++ }})
	return qt
}

// crash lets some prompts crash engines, a second apart.
func (qt *quarantineTest) crash(prompts ...[]bwforward.PartID) {
	for _, prompt := range prompts {
		qt.now = qt.now.Add(time.Second)
		qt.RecordCrash(prompt, true)
	}
}

func (qt *quarantineTest) refuses(prompt ...bwforward.PartID) bool {
	group, _ := qt.Find(prompt)
	return group != nil
}

type prompt = []bwforward.PartID

// Guards against a deadly part that is not found among others, whether it comes with
// the same parts or with others each time, and against sound prompts with the other
// parts that are refused.
func TestQuarantineFindsDeadlyPart(t *testing.T) {
	tests := []struct {
		name    string
		observe func(*quarantineTest)
		refused []prompt
		served  []prompt
	}{
		{"alone", func(qt *quarantineTest) { qt.crash(prompt{"d"}, prompt{"d"}, prompt{"d"}) }, []prompt{{"d"}, {"a", "d"}}, []prompt{{"a"}, {}}},
		{"two crashes", func(qt *quarantineTest) { qt.crash(prompt{"d"}, prompt{"d"}) }, nil, []prompt{{"d"}}},
		{"with a part that is served", func(qt *quarantineTest) {
			qt.RecordServed(prompt{"first"})
			qt.crash(prompt{"first", "d"}, prompt{"first", "d"}, prompt{"first", "d"})
		}, []prompt{{"d"}, {"first", "d"}}, []prompt{{"first"}, {"first", "a"}}},
		{"always with the same parts", func(qt *quarantineTest) { qt.crash(prompt{"a", "d"}, prompt{"a", "d"}, prompt{"a", "d"}) }, []prompt{{"a", "d"}, {"a", "d", "b"}}, []prompt{{"a"}, {"d"}, {"a", "b"}}},
		{"always with the same parts, of which one is served later", func(qt *quarantineTest) {
			qt.crash(prompt{"a", "d"}, prompt{"a", "d"}, prompt{"a", "d"})
			qt.RecordServed(prompt{"a", "b"})
		}, []prompt{{"a", "d"}, {"d"}, {"c", "d"}}, []prompt{{"a"}, {"b"}, {"c"}}},
		{"with other parts each time", func(qt *quarantineTest) { qt.crash(prompt{"a", "d"}, prompt{"b", "d"}, prompt{"d", "c"}) }, []prompt{{"d"}, {"e", "d"}}, []prompt{{"a"}, {"b"}, {"c"}, {"a", "b", "c"}}},
		{"with the same parts, then with others", func(qt *quarantineTest) {
			qt.crash(prompt{"a", "d"}, prompt{"a", "d"}, prompt{"a", "d"}, prompt{"b", "d"})
		}, []prompt{{"d"}, {"c", "d"}}, []prompt{{"a"}, {"b"}, {"a", "b"}}},
		{"two deadly parts", func(qt *quarantineTest) {
			qt.crash(prompt{"a", "d"}, prompt{"b", "e"}, prompt{"b", "d"}, prompt{"a", "e"}, prompt{"c", "d"}, prompt{"f", "e"})
		}, []prompt{{"d"}, {"e"}}, []prompt{{"f"}, {"c"}}},
		{"with bystanders that share a part", func(qt *quarantineTest) {
			for range 3 {
				qt.crash(prompt{"a"})
				qt.RecordCrash(prompt{"a", "d"}, true)
				qt.RecordCrash(prompt{"a", "b"}, true)
			}
		}, []prompt{{"a", "d"}}, []prompt{{"a"}, {"a", "c"}}},
		{"a part that many prompts share", func(qt *quarantineTest) {
			qt.crash(prompt{"d", "a"}, prompt{"d", "b"}, prompt{"d", "a"}, prompt{"d", "c"}, prompt{"d"})
		}, []prompt{{"d"}, {"d", "e"}}, []prompt{{"a"}, {"b"}}},
		{"engines that fail at the same moment", func(qt *quarantineTest) {
			for range 10 {
				qt.RecordCrash(prompt{"a"}, true)
				qt.now = qt.now.Add(10 * time.Millisecond)
			}
		}, nil, []prompt{{"a"}}},
		{"a response between the crashes", func(qt *quarantineTest) {
			qt.crash(prompt{"a"}, prompt{"a"})
			qt.RecordServed(prompt{"a"})
			qt.now = qt.now.Add(time.Minute)
			qt.crash(prompt{"a"}, prompt{"a"})
		}, nil, []prompt{{"a"}}},
		{"a part that turns deadly", func(qt *quarantineTest) {
			qt.RecordServed(prompt{"d"})
			qt.now = qt.now.Add(5 * time.Second)
			qt.crash(prompt{"d"}, prompt{"d"}, prompt{"d"})
		}, []prompt{{"d"}}, nil},
		{"crashes that are hours apart", func(qt *quarantineTest) {
			for range 5 {
				qt.now = qt.now.Add(time.Hour)
				qt.RecordCrash(prompt{"a"}, true)
			}
		}, nil, []prompt{{"a"}}},
		{"a prompt without shared parts", func(qt *quarantineTest) { qt.crash(prompt{}, prompt{}, prompt{}) }, nil, []prompt{{}, {"a"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt := newQuarantineTest()
			tt.observe(qt)
			for _, prm := range tt.refused {
				if !qt.refuses(prm...) {
					t.Errorf("prompt %q is not refused", prm)
				}
			}
			for _, prm := range tt.served {
				if qt.refuses(prm...) {
					t.Errorf("prompt %q is refused", prm)
				}
			}
		})
	}
}

// Guards against parts that stay in quarantine for ever, and against a part that
// crashes many engines again after its quarantine.
func TestQuarantineEnds(t *testing.T) {
	qt := newQuarantineTest()
	qt.crash(prompt{"d"}, prompt{"d"}, prompt{"d"})
	if _, left := qt.Find(prompt{"d"}); left != bwforward.QuarantineTime {
		t.Errorf("%v are left, want %v", left, bwforward.QuarantineTime)
	}
	qt.now = qt.now.Add(bwforward.QuarantineTime)
	if qt.refuses("d") || len(qt.All()) != 0 {
		t.Error("the part is still in quarantine")
	}
	qt.crash(prompt{"d"})
	if !qt.refuses("d") {
		t.Error("the part is not in quarantine after one more crash")
	}
	qt.RecordServed(prompt{"d"})
	if qt.refuses("d") {
		t.Error("the part is still in quarantine after a response")
	}
	qt.now = qt.now.Add(time.Minute)
	qt.crash(prompt{"d"})
	if qt.refuses("d") {
		t.Error("a part that was cleared is in quarantine after one crash")
	}
}

// Guards against a gateway that refuses what others have named although it serves
// it, that adopts what has been served since, or announces what it did not name.
func TestQuarantineAdopts(t *testing.T) {
	qt := newQuarantineTest()
	until := qt.now.Add(bwforward.QuarantineTime)
	qt.RecordServed(prompt{"first"})
	served, ok := qt.Adopt(prompt{"first", "d"}, until, false)
	if !ok || !slices.Equal(served, prompt{"first"}) {
		t.Errorf("served %q, adopted %v", served, ok)
	}
	if !qt.refuses("a", "d") || qt.refuses("first") {
		t.Error("the deadly part is served, or the other one refused")
	}
	if _, ok := qt.Adopt(prompt{"d"}, until, false); ok {
		t.Error("a known group is adopted again")
	}
	qt.now = qt.now.Add(10 * time.Second)
	qt.RecordServed(prompt{"d"})
	qt.now = qt.now.Add(time.Minute)
	if _, ok := qt.Adopt(prompt{"d"}, until, false); ok || qt.refuses("d") {
		t.Error("a part is adopted that was served since it was named")
	}
	if _, ok := qt.Adopt(prompt{"e"}, qt.now, false); ok {
		t.Error("a group is adopted whose quarantine has ended")
	}
	qt.Adopt(prompt{"e"}, qt.now.Add(time.Hour*24), true)
	if _, left := qt.Find(prompt{"e"}); left != bwforward.QuarantineTime {
		t.Errorf("%v are left, want %v at most", left, bwforward.QuarantineTime)
	}
	if own := qt.Own(); len(own) != 1 || !slices.Equal(own[0].Parts, prompt{"e"}) {
		t.Errorf("own groups %+v, want the one of e", own)
	}
}

// longPrompt returns the parts of a prompt that no other one has.
func longPrompt(number, parts int) prompt {
	long := make(prompt, parts)
	for part := range long {
		long[part] = bwforward.PartID(fmt.Sprint("l", number, "-", part))
	}
	return long
}

// Guards against callers whose prompts with a thousand parts of their own, served or
// crashed, push out the record of a deadly part before it is named.
func TestQuarantineSurvivesCrowd(t *testing.T) {
	qt := newQuarantineTest()
	qt.crash(prompt{"d"})
	for ix := range 120 {
		own := longPrompt(ix, 1000)
		if ix%6 == 0 {
			qt.RecordCrash(own, true)
		}
		if ix%12 == 0 {
			qt.RecordServed(own)
		}
		if ix == 60 {
			qt.crash(prompt{"d"})
		}
	}
	for ix := range 200 {
		qt.RecordCrash(longPrompt(1000+ix, 1000), true)
	}
	if qt.crash(prompt{"d"}); !qt.refuses("d") {
		t.Error("the deadly part is not in quarantine after three crashes")
	}
	if len(qt.drops) != 1 || qt.drops[bwforward.DroppedSuspect] == 0 {
		t.Errorf("dropped %v, want suspects only", qt.drops)
	}
	for ix := range 20 {
		for range 3 {
			qt.crash(longPrompt(2000+ix, 1000))
		}
	}
	size := 0
	for _, qp := range qt.Own() {
		size += len(fmt.Sprintf("%q", qp.Parts))
	}
	if size > 33<<10 || size < 16<<10 || qt.drops[bwforward.DroppedAnnouncement] == 0 {
		t.Errorf("%d bytes are announced, dropped %v", size, qt.drops)
	}
}

// Guards against callers that fill a gateway's memory with parts, and against one
// whose parts push a deadly one out of the quarantine.
func TestQuarantineIsBounded(t *testing.T) {
	qt := newQuarantineTest()
	qt.crash(prompt{"d"}, prompt{"d"}, prompt{"d"})
	for ix := range 20_000 {
		qt.RecordServed(prompt{bwforward.PartID(fmt.Sprint("s", ix))})
		qt.RecordCrash(prompt{bwforward.PartID(fmt.Sprint("c", ix))}, true)
		qt.now = qt.now.Add(time.Millisecond)
	}
	for ix := range 20_000 {
		qt.RecordCrash(longPrompt(ix%3000, 16), true)
		qt.now = qt.now.Add(time.Millisecond)
	}
	if !qt.refuses("d") {
		t.Error("the deadly part is not in quarantine any more")
	}
	for ix := range 200 {
		part := bwforward.PartID(fmt.Sprint("n", ix))
		qt.crash(prompt{part}, prompt{part}, prompt{part})
	}
	if len(qt.All()) > 64 || len(qt.Own()) > 16 {
		t.Errorf("%d groups, %d announced", len(qt.All()), len(qt.Own()))
	}
}

// Guards against a sound part that stays in quarantine after bad luck, and against
// tests of a deadly one at every gateway or for each request.
func TestQuarantineTestsParts(t *testing.T) {
	qt, other := newQuarantineTest(), newQuarantineTest()
	qt.crash(prompt{"d"}, prompt{"d"}, prompt{"d"})
	other.Adopt(prompt{"d"}, other.now.Add(bwforward.QuarantineTime), false)
	tests := 0
	for range 400 {
		qt.now, other.now = qt.now.Add(time.Second), other.now.Add(time.Second)
		if _, _, isTest := other.Admit(prompt{"d"}); isTest {
			t.Fatal("a gateway that has not named the part tests it")
		}
		if _, _, isTest := qt.Admit(prompt{"a", "d"}); isTest {
			tests++
			qt.RecordCrash(prompt{"a", "d"}, true)
		}
	}
	if tests != 2 {
		t.Errorf("%d tests in 400 s, want 2", tests)
	}
	qt.now = qt.now.Add(time.Minute)
	if _, _, isTest := qt.Admit(prompt{"d"}); !isTest || len(qt.RecordServed(prompt{"d"})) == 0 {
		t.Error("no third test, or its response need not be announced")
	}
	if group, _, isTest := qt.Admit(prompt{"d"}); group != nil || isTest {
		t.Error("the part is still in quarantine")
	}
}
