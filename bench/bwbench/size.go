package bwbench

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"bilberrywick/io/bwsettings"
)

// Size holds the experiments' sizes, so that they fit the machine.
type Size struct {
	// Length is how long the load of one policy lasts.
	Length time.Duration `default:"20s" min:"1s"`
	// Routers, Engines and Apps are the fleet's.
	Routers int `default:"3" min:"1"`
	Engines int `default:"20" min:"3"`
	Apps    int `default:"3" min:"3"`
	// Slots is the number of sequences in one engine's batch.
	Slots int `default:"4" min:"1"`
	// TokenTime is the time between the tokens of a sequence.
	TokenTime time.Duration `default:"20ms" min:"1ms"`
	// FirstToken is the time to the first token on an idle engine.
	FirstToken time.Duration `default:"30ms" min:"1ms"`
	// LookupTime is the time that the plain service takes for a lookup.
	LookupTime time.Duration `default:"5ms" min:"1ms"`
}

// LoadSize reads sizes from a JSON file, or returns the defaults for an empty path.
func LoadSize(path string) (Size, error) {
	doc := []byte("{}")
	if path != "" {
		var err error
		if doc, err = os.ReadFile(path); err != nil {
			return Size{}, fmt.Errorf("read bench settings: %w", err)
		}
	}
	size, err := bwsettings.Decode[Size](doc)
	if err != nil {
		return Size{}, err
	}
	return *size, nil
}

// catalog builds every experiment for a size.
var catalog = []struct {
	name  string
	build func(Size) Experiment
}{
	{"EngineDeath", engineDeath},
	{"Crest", crest},
	{"LongBesideShort", longBesideShort},
	{"SlowUpstream", slowUpstream},
	{"SlowEngine", slowEngine},
	{"TeamBurst", teamBurst},
	{"ZoneLoss", zoneLoss},
	{"SharedPrefix", sharedPrefix},
	{"RouterCost", routerCost},
}

// ErrUnknownExperiment says that no experiment has the name.
var ErrUnknownExperiment = errors.New("no such experiment")

// ExperimentNames returns the names of all experiments.
func ExperimentNames() string {
	names := make([]string, 0, len(catalog))
	for _, ent := range catalog {
		names = append(names, ent.name)
	}
	return strings.Join(names, ", ")
}

// SelectExperiments returns the named experiments, or all when no name is given.
func SelectExperiments(size Size, names []string) ([]Experiment, error) {
	var exps []Experiment
	for _, ent := range catalog {
		if len(names) == 0 {
			exps = append(exps, ent.build(size))
		}
	}
	for _, name := range names {
		exp, ok := find(size, name)
		if !ok {
			return nil, fmt.Errorf("%q: %w; the experiments are %s", name, ErrUnknownExperiment, ExperimentNames())
		}
		exps = append(exps, exp)
	}
	return exps, nil
}

func find(size Size, name string) (Experiment, bool) {
	for _, ent := range catalog {
		if ent.name == name {
			return ent.build(size), true
		}
	}
	return Experiment{}, false
}
