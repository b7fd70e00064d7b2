package bwsettings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"bilberrywick/io/bwsettings"
)

const router = `{
  "Identity": {"ID": "router-brezno-1", "Region": "sk-stred", "Zone": "brezno"},
  "Callers": {"Address": "127.0.0.1:7000"},
  "Peers": {"Address": "127.0.0.1:7001"},
  "Operators": {"Address": "127.0.0.1:7002"},
  "SeedPeers": ["127.0.0.1:7011"],
  "Platform": {
    "Table": {"Address": "127.0.0.1:8000"},
    "Objects": {"Address": "127.0.0.1:8001"},
    "VMList": {"Address": "127.0.0.1:8002"},
    "Credentials": {"AccessKeyID": "local", "SecretKey": "local"}
  }
}`

// Guards against defaults that are not filled in, also in absent objects.
func TestDefaults(t *testing.T) {
	rt, err := bwsettings.DecodeRouter([]byte(router))
	if err != nil {
		t.Fatal(err)
	}
	if rt.DrainTime != 30*time.Second || rt.Callers.Bounds.HeaderTimeout != 5*time.Second || rt.Log.Level != "Info" {
		t.Errorf("defaults not filled in: %+v", rt)
	}
	if rt.Peers.Advertise != rt.Peers.Address {
		t.Errorf("Advertise %v, want %v", rt.Peers.Advertise, rt.Peers.Address)
	}
}

// Guards against an unknown or wrong field that is accepted, and against a
// report of the first fault only.
func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown field", `"Callers": {`, `"Callers": {"Rack": "x", `, []string{"Callers.Rack: unknown field; accepted: Address, TLS, Bounds"}},
		{"case of a field", `"SeedPeers"`, `"seedpeers"`, []string{"seedpeers: unknown field"}},
		{"field twice", `"SeedPeers": [`, `"SeedPeers": [], "SeedPeers": [`, []string{"SeedPeers: occurs twice"}},
		{"missing field", `"Zone": "brezno"`, `"Zone": ""`, []string{"Identity.Zone: must not be empty"}},
		{"absent field", `, "Zone": "brezno"`, ``, []string{"Identity.Zone: is required"}},
		{"wrong value", `"SeedPeers"`, `"Log": {"Level": "Loud"}, "SeedPeers"`, []string{`Log.Level: "Loud" is not accepted; accepted: Debug, Info, Warn, Error`}},
		{"address", `"127.0.0.1:7011"`, `"localhost:7011", ""`, []string{`SeedPeers[0]: "localhost:7011" is not an address and port`, "SeedPeers[1]: is empty"}},
		{"duration", `"SeedPeers"`, `"DrainTime": 30, "SeedPeers"`, []string{"DrainTime: is a number, want a duration"}},
		{"bound", `"SeedPeers"`, `"DrainTime": "-1s", "SeedPeers"`, []string{"DrainTime: must be at least 0s"}},
		{"same address", `7001`, `7000`, []string{"Callers.Address: is the same address as Peers.Address"}},
		{"open administration", `127.0.0.1:7002`, `192.0.2.1:7002`, []string{"Operators.Keys: is required"}},
		{"all faults", `"Region": "sk-stred"`, `"Region": 7, "Rack": 1`, []string{"Identity.Region: is a number", "Identity.Rack: unknown field"}},
		{"null", `["127.0.0.1:7011"]`, `null`, []string{"SeedPeers: is null, want an array"}},
		{"two values", `"SecretKey": "local"}
  }
}`, `"SecretKey": "local"}}} {}`, []string{"more than one value"}},
		{"line", `"brezno"`, `7`, []string{"(line 2)"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(router, tt.old) {
				t.Fatalf("the document lacks %q", tt.old)
			}
			_, err := bwsettings.DecodeRouter([]byte(strings.Replace(router, tt.old, tt.new, 1)))
			var faults *bwsettings.Error
			if !errors.As(err, &faults) {
				t.Fatalf("got %v, want *Error", err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("faults lack %q:\n%v", want, err)
				}
			}
			if len(faults.Faults) < len(tt.want) {
				t.Errorf("%d faults, want at least %d", len(faults.Faults), len(tt.want))
			}
		})
	}
}

// Guards against ticket fields that are accepted with a wrong value.
func TestTicketFaults(t *testing.T) {
	doc := `{"Number": -1, "Services": [{"Name": "pisar-model", "Kind": "Engine", "Deadline": "soon"}], "Extra": {}}`
	_, err := bwsettings.DecodeTicket([]byte(doc))
	for _, want := range []string{"Number: -1", `Services[0].Kind: "Engine"`, `Services[0].Deadline: "soon"`, "Extra: unknown"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("faults lack %q: %v", want, err)
		}
	}
}

// Guards against documents from outside that panic or exhaust the stack.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(router))
	f.Add([]byte(`{"Number": 1, "Teams": [{"Name": "škola", "Keys": [{"SHA256": "00"}]}]}`))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Add([]byte("{\"a\":\xff}"))
	f.Fuzz(checkDecoders)
}

func checkDecoders(t *testing.T, data []byte) {
	if rt, err := bwsettings.DecodeRouter(data); (rt == nil) == (err == nil) {
		t.Errorf("router %v and error %v", rt, err)
	}
	if ag, err := bwsettings.DecodeAgent(data); (ag == nil) == (err == nil) {
		t.Errorf("agent %v and error %v", ag, err)
	}
	if doc, err := bwsettings.DecodeTicket(data); (doc == nil) == (err == nil) {
		t.Errorf("ticket %v and error %v", doc, err)
	}
}
