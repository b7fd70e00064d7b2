package bwsettings_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

const examplesDir = "../../examples"

func exampleFiles(t *testing.T, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(examplesDir, pattern))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s matches %d files, error %v", pattern, len(files), err)
	}
	return files
}

// Guards against examples that fail to load, or whose addresses are outside the
// ranges reserved for documentation.
func TestExamples(t *testing.T) {
	tests := []struct {
		name                            string
		zones, models, plain, teams     int
		modelService, plainService, net string
	}{
		{"workshop", 4, 20, 4, 10, "pisar-model", "objednavky-pult", "192.0.2.0/24"},
		{"gefersa", 3, 20, 3, 10, "review-desk", "permit-office", "198.51.100.0/24"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc, err := bwsettings.LoadTicket(filepath.Join(examplesDir, tt.name, "ticket-1.json"))
			if err != nil {
				t.Fatal(err)
			}
			checkTicket(t, doc)
			byService, zones := countUpstreams(doc)
			if byService[bwmodel.ServiceID(tt.modelService)] != tt.models || byService[bwmodel.ServiceID(tt.plainService)] != tt.plain {
				t.Errorf("wrong number of upstreams of a service: %v", byService)
			}
			if len(zones) != tt.zones || len(doc.Teams) != tt.teams || len(doc.Services) != 2 {
				t.Errorf("wrong number of objects: %d zones, %d teams, %d services", len(zones), len(doc.Teams), len(doc.Services))
			}
			prefix := netip.MustParsePrefix(tt.net)
			checkRouters(t, tt.name, prefix, tt.zones)
			checkAgents(t, tt.name, prefix, doc)
		})
	}
	for _, file := range exampleFiles(t, "*/ticket-*.json") {
		if _, err := bwsettings.LoadTicket(file); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

func checkTicket(t *testing.T, doc *bwwire.TicketDocument) {
	t.Helper()
	known := make(map[bwmodel.ServiceID]bool)
	for _, svc := range doc.Services {
		if _, err := svc.Service(); err != nil {
			t.Errorf("service %s: %v", svc.Name, err)
		}
		known[svc.Name] = true
	}
	for _, team := range doc.Teams {
		if _, err := team.Team(); err != nil {
			t.Errorf("team %s: %v", team.Name, err)
		}
	}
	agents := make(map[netip.AddrPort]bool)
	for _, ups := range doc.Upstreams {
		if !known[ups.Service] || agents[ups.Agent] {
			t.Errorf("upstream %s: unknown service %s or duplicate agent %v", ups.Name, ups.Service, ups.Agent)
		}
		agents[ups.Agent] = true
	}
}

func countUpstreams(doc *bwwire.TicketDocument) (map[bwmodel.ServiceID]int, map[bwmodel.ZoneID]bool) {
	byService, zones := make(map[bwmodel.ServiceID]int), make(map[bwmodel.ZoneID]bool)
	for _, ups := range doc.Upstreams {
		byService[ups.Service]++
		zones[ups.Zone] = true
	}
	return byService, zones
}

func checkRouters(t *testing.T, name string, prefix netip.Prefix, zones int) {
	t.Helper()
	files := exampleFiles(t, name+"/router-*.json")
	if len(files) != zones {
		t.Errorf("%d routers, want one in each of %d zones", len(files), zones)
	}
	for _, file := range files {
		rt, err := bwsettings.LoadRouter(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		addrs := append([]netip.AddrPort{rt.Callers.Address, rt.Peers.Address, rt.Operators.Address, rt.Platform.Table.Address}, rt.SeedPeers...)
		for _, addr := range addrs {
			if !prefix.Contains(addr.Addr()) {
				t.Errorf("%s: %v is not in %v", file, addr, prefix)
			}
		}
	}
}

func checkAgents(t *testing.T, name string, prefix netip.Prefix, doc *bwwire.TicketDocument) {
	t.Helper()
	upstreams := make(map[bwmodel.UpstreamID]bwwire.UpstreamDocument)
	for _, ups := range doc.Upstreams {
		upstreams[ups.Name] = ups
	}
	files := exampleFiles(t, name+"/agent-*.json")
	if len(files) != len(upstreams) {
		t.Errorf("%d agents, want one for each of %d upstreams", len(files), len(upstreams))
	}
	for _, file := range files {
		ag, err := bwsettings.LoadAgent(file)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		ups := upstreams[ag.Upstream.Name]
		if ups.Agent != ag.Peers.Address || ups.Zone != ag.Identity.Zone || ups.ChecksFence != ag.Upstream.ChecksFence {
			t.Errorf("%s differs from the ticket's upstream %+v", file, ups)
		}
		if !prefix.Contains(ag.Peers.Address.Addr()) || !strings.Contains(file, string(ups.Name)) {
			t.Errorf("%s: address %v is not a documentation address, or the file is not named after its upstream", file, ag.Peers.Address)
		}
	}
}

// Guards against fields that are missing from docs/settings.md or described
// differently there, and against rows for removed fields.
func TestPageIsComplete(t *testing.T) {
	data, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, router, _ := strings.Cut(string(data), "\n## Router\n")
	router, agent, _ := strings.Cut(router, "\n## Agent\n")
	checkSettingsRows(t, router, bwsettings.Fields[bwsettings.Router]())
	checkSettingsRows(t, agent, bwsettings.Fields[bwsettings.Agent]())
}

func checkSettingsRows(t *testing.T, section string, fields []bwsettings.Field) {
	t.Helper()
	for _, fld := range fields {
		_, meaning, found := strings.Cut(section, "\n"+fld.MarkdownRow())
		meaning, _, _ = strings.Cut(meaning, " |\n")
		if !found || strings.TrimSpace(meaning) == "" {
			t.Errorf("docs/settings.md has no row %sor no meaning in it", fld.MarkdownRow())
		}
	}
	if got := strings.Count(section, "\n| `"); got != len(fields) {
		t.Errorf("%d rows for %d fields", got, len(fields))
	}
}
