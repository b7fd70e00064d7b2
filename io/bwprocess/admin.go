package bwprocess

import (
	"context"
	"runtime"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

// AdminConfig configures the parts of the administration API that differ between
// routers and agents.
type AdminConfig struct {
	// API contains the functions that the router or agent implements;
	// ListenOperators sets the shared ones.
	API bwadmin.Config
	// InProgress returns the number of requests in progress in the process.
	InProgress func() int
	// HeldLeases returns the duties whose lease the process holds; nil means none.
	HeldLeases func() []string
	// UpstreamInProgress returns the number of the process's requests in progress
	// at an upstream; nil means 0.
	UpstreamInProgress func(bwmodel.UpstreamID) int
}

// adminHandler implements the shared part of the administration API.
type adminHandler struct {
	AdminConfig
	prc *Process
}

// ListenOperators opens the operators' listener, which serves the administration
// API, metrics and profiles.
func (prc *Process) ListenOperators(adm AdminConfig) (*bwhttp.Server, error) {
	operators := prc.cfg.Settings.Operators
	handler := &adminHandler{AdminConfig: adm, prc: prc}
	cfg := adm.API
	cfg.State, cfg.Members = handler.state, handler.members
	cfg.Drains, cfg.Drain = handler.drains, handler.drain
	cfg.Version = bwadmin.VersionResponse{Version: prc.cfg.Version, Go: runtime.Version()}
	cfg.Ready = prc.CheckReady
	cfg.Metrics, cfg.Profiles = bwobserve.MetricsHandler(prc.Metrics), bwobserve.ProfileHandler()
	cfg.Gate = prc.newOperatorAuthenticator(operators.Keys)
	return prc.Listen(ListenerConfig{
		Address:      operators.Address,
		TLS:          operators.TLS,
		Limits:       operators.Bounds,
		Handler:      bwadmin.NewHandler(cfg),
		ErrorHandler: bwadmin.WriteError,
	})
}

// newOperatorAuthenticator returns an authenticator for the operators' keys, or
// nil without keys, which the settings allow only for loopback listeners.
func (prc *Process) newOperatorAuthenticator(keys []bwsettings.OperatorKey) *bwhttp.OperatorAuthenticator {
	if len(keys) == 0 {
		return nil
	}
	authenticator := &bwhttp.OperatorAuthenticator{Now: prc.cfg.Now}
	for _, key := range keys {
		// Hashes were validated when the settings were loaded.
		if hash, err := key.Hash(); err == nil {
			authenticator.Keys = append(authenticator.Keys, bwhttp.OperatorKey{Name: key.Name, Hash: hash, NotAfter: key.NotAfter})
		}
	}
	return authenticator
}

func (adm *adminHandler) state(context.Context, *struct{}) (*bwwire.StateDocument, error) {
	doc := bwwire.NewStateDocument(adm.prc.Fleet.Snapshot().State)
	return &doc, nil
}

func (adm *adminHandler) members(context.Context, *struct{}) (*bwadmin.MemberList, error) {
	snap := adm.prc.Fleet.Snapshot()
	self := newMemberStatus(bwmember.Entry{Member: snap.Self, Status: bwmember.Live, StateNumber: snap.State.Number()})
	if snap.Self.Leaving {
		self.State = bwmember.Leaving.String()
	}
	if adm.HeldLeases != nil {
		self.Leases = adm.HeldLeases()
	}
	list := &bwadmin.MemberList{
		Self:      snap.Self.ID,
		Head:      snap.State.Number(),
		StoreLost: snap.StoreUnavailableSince,
		Members:   []bwadmin.MemberStatus{self},
	}
	now := adm.prc.cfg.Now()
	for _, ent := range snap.Members {
		mem := newMemberStatus(ent)
		if !ent.LastContact.IsZero() {
			mem.Age = bwwire.DurationText(now.Sub(ent.LastContact))
		}
		list.Members = append(list.Members, mem)
	}
	return list, nil
}

func newMemberStatus(ent bwmember.Entry) bwadmin.MemberStatus {
	return bwadmin.MemberStatus{
		ID:          ent.Member.ID,
		Incarnation: ent.Member.Incarnation,
		Role:        ent.Member.Role.String(),
		Region:      ent.Member.Region,
		Zone:        ent.Member.Zone,
		Address:     ent.Member.Address,
		State:       ent.Status.String(),
		StateNumber: ent.StateNumber,
	}
}

// drains lists the drains of the process itself, of leaving members and of
// upstreams that a ticket drains.
func (adm *adminHandler) drains(context.Context, *struct{}) (*bwadmin.DrainList, error) {
	list := &bwadmin.DrainList{}
	snap := adm.prc.Fleet.Snapshot()
	if drn := adm.prc.stop.drain.Load(); drn != nil {
		list.Drains = append(list.Drains, bwadmin.DrainStatus{
			Kind: bwadmin.MemberDrain, Name: string(snap.Self.ID), Cause: drn.cause, Since: drn.since, Remaining: adm.InProgress(),
		})
	}
	for _, ent := range snap.Members {
		if ent.Status == bwmember.Leaving {
			list.Drains = append(list.Drains, bwadmin.DrainStatus{
				Kind: bwadmin.MemberDrain, Name: string(ent.Member.ID), Cause: bwadmin.CauseMember,
			})
		}
	}
	for _, ent := range snap.State.Upstreams() {
		if ups := ent.Object; ups.Draining {
			list.Drains = append(list.Drains, bwadmin.DrainStatus{
				Kind: bwadmin.UpstreamDrain, Name: string(ups.Name), Cause: bwadmin.CauseTicket, Remaining: adm.upstreamRemaining(ups.Name),
			})
		}
	}
	return list, nil
}

func (adm *adminHandler) upstreamRemaining(name bwmodel.UpstreamID) int {
	if adm.UpstreamInProgress == nil {
		return 0
	}
	return adm.UpstreamInProgress(name)
}

// drain requests a stop of the process, with the same effect as a signal.
func (adm *adminHandler) drain(ctx context.Context, req *bwadmin.DrainRequest) (*bwadmin.DrainList, error) {
	if req.Member != adm.prc.Self.ID {
		return nil, bwadmin.ErrOtherMember
	}
	adm.prc.Log.Info("drain requested", "Operator", bwhttp.OperatorName(ctx))
	adm.prc.stop.requestStop(adm.prc.cfg.Now())
	return adm.drains(ctx, &struct{}{})
}
