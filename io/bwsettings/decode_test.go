package bwsettings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"bilberrywick/io/bwsettings"
)

const routerJSON = `{
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

// Guards against missing defaults, also in absent objects.
func TestDefaults(t *testing.T) {
	rt, err := bwsettings.DecodeRouter([]byte(routerJSON))
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

// Guards against accepting unknown fields or invalid values, and against
// reporting only the first fault.
func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown field", `"Callers": {`, `"Callers": {"Rack": "x", `, []string{"Callers.Rack: unknown field; accepted: Address, TLS, Bounds"}},
		{"wrong case of a field", `"SeedPeers"`, `"seedpeers"`, []string{"seedpeers: unknown field"}},
		{"duplicate field", `"SeedPeers": [`, `"SeedPeers": [], "SeedPeers": [`, []string{"SeedPeers: occurs twice"}},
		{"empty field", `"Zone": "brezno"`, `"Zone": ""`, []string{"Identity.Zone: must not be empty"}},
		{"absent field", `, "Zone": "brezno"`, ``, []string{"Identity.Zone: is required"}},
		{"unknown enum value", `"SeedPeers"`, `"Log": {"Level": "Loud"}, "SeedPeers"`, []string{`Log.Level: "Loud" is not accepted; accepted: Debug, Info, Warn, Error`}},
		{"address", `"127.0.0.1:7011"`, `"localhost:7011", ""`, []string{`SeedPeers[0]: "localhost:7011" is not an address and port`, "SeedPeers[1]: is empty"}},
		{"duration", `"SeedPeers"`, `"DrainTime": 30, "SeedPeers"`, []string{"DrainTime: is a number, want a duration"}},
		{"bound", `"SeedPeers"`, `"DrainTime": "-1s", "SeedPeers"`, []string{"DrainTime: must be at least 0s"}},
		{"same address", `7001`, `7000`, []string{"Callers.Address: is the same address as Peers.Address"}},
		{"operator listener without keys", `127.0.0.1:7002`, `192.0.2.1:7002`, []string{"Operators.Keys: is required"}},
		{"several faults", `"Region": "sk-stred"`, `"Region": 7, "Rack": 1`, []string{"Identity.Region: is a number", "Identity.Rack: unknown field"}},
		{"null", `["127.0.0.1:7011"]`, `null`, []string{"SeedPeers: is null, want an array"}},
		{"two values", `"SecretKey": "local"}
  }
}`, `"SecretKey": "local"}}} {}`, []string{"more than one value"}},
		{"line", `"brezno"`, `7`, []string{"(line 2)"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(routerJSON, tt.old) {
				t.Fatalf("the document does not contain %q", tt.old)
			}
			_, err := bwsettings.DecodeRouter([]byte(strings.Replace(routerJSON, tt.old, tt.new, 1)))
			var faults *bwsettings.Error
			if !errors.As(err, &faults) {
				t.Fatalf("error %v, want *Error", err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("faults do not contain %q:\n%v", want, err)
				}
			}
			if len(faults.Faults) < len(tt.want) {
				t.Errorf("%d faults, want at least %d", len(faults.Faults), len(tt.want))
			}
		})
	}
}

// Guards against accepting ticket fields with invalid values.
func TestTicketFaults(t *testing.T) {
	doc := `{"Number": -1, "Services": [{"Name": "pisar-model", "Kind": "Engine", "Deadline": "soon"}], "Extra": {}}`
	_, err := bwsettings.DecodeTicket([]byte(doc))
	for _, want := range []string{"Number: -1", `Services[0].Kind: "Engine"`, `Services[0].Deadline: "soon"`, "Extra: unknown"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("faults do not contain %q: %v", want, err)
		}
	}
}

// Guards against untrusted documents that cause a panic or exhaust the stack.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(routerJSON))
	f.Add([]byte(`{"Number": 1, "Teams": [{"Name": "škola", "Keys": [{"SHA256": "00"}]}]}`))
	f.Add([]byte(strings.Repeat("[", 100)))
	f.Add([]byte("{\"a\":\xff}"))
	f.Fuzz(checkDecoders)
}

func checkDecoders(t *testing.T, data []byte) {
	if rt, err := bwsettings.DecodeRouter(data); (rt == nil) == (err == nil) {
		t.Errorf("DecodeRouter returned %v and error %v, want exactly one", rt, err)
	}
	if ag, err := bwsettings.DecodeAgent(data); (ag == nil) == (err == nil) {
		t.Errorf("DecodeAgent returned %v and error %v, want exactly one", ag, err)
	}
	if doc, err := bwsettings.DecodeTicket(data); (doc == nil) == (err == nil) {
		t.Errorf("DecodeTicket returned %v and error %v, want exactly one", doc, err)
	}
}
