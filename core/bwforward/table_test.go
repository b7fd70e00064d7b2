package bwforward_test

import (
	"errors"
	"testing"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Guards against requests that match a shorter prefix, the route of another host,
// a target without weight, or the team of another key.
func TestFind(t *testing.T) {
	urgent := 0
	tbl := bwforward.NewRoutingTable(bwforward.RoutingTableConfig{
		Version: 7,
		Routes: []bwforward.Route{
			{Name: "short", Host: "pult.example", Prefix: "/a/", Priority: 2, Targets: []bwforward.Target{{Service: "pult", Weight: 1}}},
			{Name: "long", Host: "pult.example", Prefix: "/a/b/", Priority: 2, Targets: []bwforward.Target{{Service: "none"}, {Service: "model", Weight: 3}}},
			{Name: "open", Host: "pult.example", Prefix: "/open/", Public: true, Targets: []bwforward.Target{{Service: "pult", Weight: 1}}},
			{Name: "other", Host: "iny.example", Prefix: "/", Targets: []bwforward.Target{{Service: "pult", Weight: 1}}},
		},
		Services: []bwforward.Service{{Name: "model", Model: &bwforward.Model{Memory: 10}}},
		Teams:    []bwforward.Team{{Name: "alpha", Keys: []string{"k1", "k2"}, Priority: &urgent}, {Name: "beta", Keys: []string{"k3"}}},
	})
	tests := []struct {
		name, host, path, key string
		route                 string
		service               bwmodel.ServiceID
		team                  bwmodel.TeamID
		priority              int
		err                   error
	}{
		{"longest prefix", "pult.example", "/a/b/c", "k3", "long", "model", "beta", 2, nil},
		{"shorter prefix", "pult.example", "/a/bc", "k1", "short", "pult", "alpha", 0, nil},
		{"host with port and upper case", "PULT.example:80", "/a/", "k2", "short", "pult", "alpha", 0, nil},
		{"prefix without trailing slash", "pult.example", "/a", "k1", "", "", "", 0, bwforward.ErrNoRoute},
		{"unknown host", "nikto.example", "/a/", "k1", "", "", "", 0, bwforward.ErrNoRoute},
		{"unknown key", "pult.example", "/a/", "k9", "", "", "", 0, bwforward.ErrUnknownKey},
		{"no key", "iny.example", "/x", "", "", "", "", 0, bwforward.ErrUnknownKey},
		{"public without a key", "pult.example", "/open/x", "", "open", "pult", "", 0, nil},
		{"public with a key", "pult.example", "/open/x", "k3", "open", "pult", "beta", 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mt, err := tbl.Find(tt.host, tt.path, tt.key)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err != nil {
				return
			}
			if mt.Route.Name != tt.route || mt.Service.Name != tt.service || mt.Team != tt.team || mt.Priority != tt.priority {
				t.Errorf("got route %s, service %s, team %s, priority %d", mt.Route.Name, mt.Service.Name, mt.Team, mt.Priority)
			}
		})
	}
}
