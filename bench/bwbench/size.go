package bwbench

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"bilberrywick/io/bwsettings"
)

// Size holds the size settings of the experiments, to fit them to the machine.
type Size struct {
	// Length is the duration of the load in each variant.
	Length time.Duration `default:"20s" min:"1s"`
	// Routers, Engines and Apps are the numbers of processes in the fleet.
	Routers int `default:"3" min:"1"`
	Engines int `default:"20" min:"3"`
	Apps    int `default:"3" min:"3"`
	// Slots is the maximum number of sequences in one engine's batch.
	Slots int `default:"4" min:"1"`
	// TokenTime is the time between the tokens of a sequence.
	TokenTime time.Duration `default:"20ms" min:"1ms"`
	// FirstToken is the time to the first token on an idle engine.
	FirstToken time.Duration `default:"30ms" min:"1ms"`
	// LookupTime is the time that an app needs for a lookup.
	LookupTime time.Duration `default:"5ms" min:"1ms"`
}

// LoadSize reads the sizes from a JSON file, or returns the defaults if path is
// empty.
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

// catalog lists the experiments by name.
var catalog = []struct {
	name  string
	build func(Size) Experiment
}{
	{"EngineDeath", engineDeath},
	{"Crest", peakLoad},
	{"LongBesideShort", mixedLengths},
	{"SlowUpstream", slowUpstream},
	{"SlowEngine", slowEngine},
	{"TeamBurst", teamBurst},
	{"ZoneLoss", zoneLoss},
	{"SharedPrefix", sharedPrefix},
	{"RouterCost", routerCost},
}

// ErrUnknownExperiment is returned for a name that no experiment has.
var ErrUnknownExperiment = errors.New("no such experiment")

// ExperimentNames returns the names of all experiments, separated by commas.
func ExperimentNames() string {
	names := make([]string, 0, len(catalog))
	for _, ent := range catalog {
		names = append(names, ent.name)
	}
	return strings.Join(names, ", ")
}

// SelectExperiments returns the named experiments, or all experiments if names is
// empty. It returns ErrUnknownExperiment for an unknown name.
func SelectExperiments(size Size, names []string) ([]Experiment, error) {
	var exps []Experiment
	for _, ent := range catalog {
		if len(names) == 0 {
			exps = append(exps, ent.build(size))
		}
	}
	for _, name := range names {
		exp, ok := findExperiment(size, name)
		if !ok {
			return nil, fmt.Errorf("%q: %w; the experiments are %s", name, ErrUnknownExperiment, ExperimentNames())
		}
		exps = append(exps, exp)
	}
	return exps, nil
}

func findExperiment(size Size, name string) (Experiment, bool) {
	for _, ent := range catalog {
		if ent.name == name {
			return ent.build(size), true
		}
	}
	return Experiment{}, false
}
