package bwticket_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// Guards against a check that stops at the first fault or reports the wrong field.
func TestCheckReportsEveryFault(t *testing.T) {
	st := bwticket.NewState(bwticket.StateConfig{
		Number:    4,
		Services:  []bwticket.Entry[bwmodel.Service]{{SetBy: 4, Object: service("review-desk")}},
		Teams:     []bwticket.Entry[bwmodel.Team]{{SetBy: 4, Object: team("inspectors", 1)}},
		Upstreams: []bwticket.Entry[bwmodel.Upstream]{{SetBy: 4, Object: upstream("u1", "review-desk", 1)}},
	})
	faulty := upstream("u 2", "x", 1)
	faulty.Slots = 0
	other := team("carvers", 1)
	other.Services = []bwmodel.ServiceID{"review-desk", "y"}
	slow := service("review-desk")
	slow.Deadline = -time.Second
	slow.Actions = []string{"pay"}
	several, plain := service("pisar"), service("objednavky-pult")
	several.Models = []bwmodel.ServedModel{
		{Name: "pisar/12b", Bytes: 1, MinEngines: 1},
		{Name: "pisar 12b", Bytes: 0, MinEngines: -1},
		{Name: "pisar/12b", Base: "pisar/70b", Bytes: 1},
		{Name: "review-desk", Base: "pisar/12b", Bytes: 1},
	}
	plain.Kind, plain.Models = bwmodel.PlainService, several.Models
	good := service("pisar")
	good.Models = []bwmodel.ServedModel{{Name: "pisar/12b", Bytes: 1}, {Name: "pisar/12b-sk", Base: "pisar/12b", Bytes: 1}}
	tests := []struct {
		name string
		tk   bwticket.Ticket
		want []string
	}{
		{
			"models",
			bwticket.Ticket{Number: 5, Services: []bwmodel.Service{several, plain}},
			[]string{
				"Services[0].Models[1].Bytes", "Services[0].Models[1].MinEngines", "Services[0].Models[1].Name",
				"Services[0].Models[2].Base", "Services[0].Models[2].Name", "Services[0].Models[3].Name", "Services[1].Models",
			},
		},
		{"model and adapter", bwticket.Ticket{Number: 5, Services: []bwmodel.Service{good}}, nil},
		{"empty", bwticket.Ticket{}, []string{"Number", "Number"}},
		{
			"upstream",
			bwticket.Ticket{Number: 5, Upstreams: []bwmodel.Upstream{upstream("u3", "review-desk", 3), faulty}},
			[]string{"Upstreams[1].Name", "Upstreams[1].Service", "Upstreams[1].Slots", "Upstreams[1].Agent"},
		},
		{
			"team",
			bwticket.Ticket{Number: 5, Teams: []bwmodel.Team{other, other}},
			[]string{"Teams[0].Keys[0].SHA256", "Teams[0].Services[1]", "Teams[1].Name", "Teams[1].Keys[0].SHA256", "Teams[1].Services[1]"},
		},
		{
			"service",
			bwticket.Ticket{Number: 5, Services: []bwmodel.Service{slow}},
			[]string{"Services[0].Deadline", "Services[0].Actions", "Services[0].Actions[0]"},
		},
		{
			"removal in use",
			bwticket.Ticket{Number: 5, Remove: bwticket.Removal{
				Services: []bwmodel.ServiceID{"review-desk"}, Teams: []bwmodel.TeamID{"z"},
			}},
			[]string{"Remove.Services[0]", "Remove.Teams[0]"},
		},
		{"valid", bwticket.Ticket{Number: 5, Remove: bwticket.Removal{Upstreams: []bwmodel.UpstreamID{"u1"}, Services: []bwmodel.ServiceID{"review-desk"}}}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			faults := bwticket.Check(st, tt.tk)
			for _, ft := range faults {
				got = append(got, ft.Path)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want faults at %v", faults, tt.want)
			}
		})
	}
}

// Guards against a fault whose text doesn't contain its path.
func TestFaultText(t *testing.T) {
	st := bwticket.NewState(bwticket.StateConfig{})
	tk := bwticket.Ticket{Number: 1, Upstreams: []bwmodel.Upstream{upstream("u1", "x", 1)}}
	want := `Upstreams[0].Service: service "x" does not exist`
	if got := bwticket.Check(st, tk); len(got) != 1 || got[0].String() != want {
		t.Errorf("got %v, want %q", got, want)
	}
}

// Guards against a ticket that is too large for one transaction of the table.
func TestCheckBoundsSize(t *testing.T) {
	tk := bwticket.Ticket{Number: 1}
	for ix := range bwticket.MaxObjects + 1 {
		tk.Services = append(tk.Services, service(bwmodel.ServiceID(fmt.Sprint("s", ix))))
	}
	if faults := bwticket.Check(bwticket.NewState(bwticket.StateConfig{}), tk); len(faults) != 1 {
		t.Errorf("got %v, want one fault for %d objects", faults, tk.ObjectCount())
	}
}
