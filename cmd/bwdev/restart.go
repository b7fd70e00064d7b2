package bwdev

import (
	"fmt"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwsettings"
)

// PlatformNode is the name of the platform in Config.Network. Routers and agents use
// their member ID, and engines and apps the name of their upstream.
const PlatformNode = "platform"

// Router returns the current router at an index.
func (flt *Fleet) Router(index int) *bwrouter.Router {
	flt.mu.RLock()
	defer flt.mu.RUnlock()
	return flt.Routers[index]
}

// Agents returns the current agents by the names of their upstreams.
func (flt *Fleet) Agents() map[bwmodel.UpstreamID]*bwagent.Agent {
	flt.mu.RLock()
	defer flt.mu.RUnlock()
	agents := make(map[bwmodel.UpstreamID]*bwagent.Agent)
	for _, eng := range flt.Engines {
		agents[eng.Name] = eng.Agent
	}
	for _, app := range flt.Apps {
		agents[app.Name] = app.Agent
	}
	return agents
}

// RestartRouter kills a router and starts a new incarnation with the same settings
// and ports.
func (flt *Fleet) RestartRouter(index int) error {
	// The new router listens on the same ports, so the previous one has to end first.
	if err := flt.Router(index).Kill(); err != nil {
		return fmt.Errorf("end router %d: %w", index, err)
	}
	rtr, err := flt.startRouter(flt.routerSettings[index])
	if err != nil {
		return err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.Routers[index] = rtr
	return nil
}

// RestartAgent kills the agent of an upstream and starts a new incarnation with the
// same settings and ports.
func (flt *Fleet) RestartAgent(name bwmodel.UpstreamID) error {
	current, set, err := flt.findAgent(name)
	if err != nil {
		return err
	}
	flt.mu.RLock()
	previous := *current
	flt.mu.RUnlock()
	if err := previous.Kill(); err != nil {
		return fmt.Errorf("end agent of %s: %w", name, err)
	}
	agt, err := flt.startAgent(set)
	if err != nil {
		return err
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	*current = agt
	return nil
}

// findAgent returns the field that holds the agent of an upstream, and its settings.
func (flt *Fleet) findAgent(name bwmodel.UpstreamID) (**bwagent.Agent, bwsettings.Agent, error) {
	for _, eng := range flt.Engines {
		if eng.Name == name {
			return &eng.Agent, eng.settings, nil
		}
	}
	for _, app := range flt.Apps {
		if app.Name == name {
			return &app.Agent, app.settings, nil
		}
	}
	return nil, bwsettings.Agent{}, fmt.Errorf("no upstream %s", name)
}
