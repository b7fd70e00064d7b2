package bwrollout

import "bilberrywick/core/bwmodel"

// Use says which requests a version may get.
type Use int

// Uses of a version. The zero value allows nothing.
const (
	Forbidden Use = iota
	// Sampled allows the requests that Exposure.Take allows.
	Sampled
	// Established allows all requests.
	Established
	// Preferred allows all requests, and those that fit are sent to no other version.
	Preferred
)

// String returns the use as it is logged.
func (use Use) String() string {
	switch use {
	case Sampled:
		return "Sampled"
	case Established:
		return "Established"
	case Preferred:
		return "Preferred"
	default:
		return "Forbidden"
	}
}

// VersionPolicy says which versions of a service may get requests now. It is built by the
// control goroutine and not changed afterwards. The zero value treats all versions alike.
type VersionPolicy struct {
	// Enabled is set if the deployment has rollouts.
	Enabled bool
	// State is the known state of the service's rollouts; its zero value means that none
	// is known.
	State State
	// Order is the order in the store; nil if there is none.
	Order *Order
	// OrdersRead is the revision of the store up to which the orders were read; its zero
	// value means that they were not.
	OrdersRead Revision
	// Appeared has the revision of the store at which each listed version appeared.
	Appeared map[bwmodel.VersionID]Revision
	// Stopped is set once this gateway's own counts, or a note of another gateway, show
	// that the new version of the running rollout is bad.
	Stopped bool
}

// Use returns the use of a version.
func (pol VersionPolicy) Use(ver bwmodel.VersionID) Use {
	if !pol.Enabled {
		return Established
	}
	st := pol.State
	if pol.Order != nil && pol.Order.To == ver && !st.Handles(*pol.Order) && (st.Phase == NoRollout || ver != st.serving()) {
		// The state of the new order is not known.
		return Forbidden
	}
	if st.Phase == NoRollout {
		return pol.useWithoutRollout(ver)
	}
	if ver == st.Order.To {
		return pol.useOfNew()
	}
	if st.Phase == Completed && ver == st.From {
		return Forbidden
	}
	if ver == st.From {
		return Established
	}
	for _, pst := range st.Past {
		if pst.To == ver {
			return Forbidden
		}
	}
	return pol.useWithoutRollout(ver)
}

// useOfNew returns the use of the version that the state's order names.
func (pol VersionPolicy) useOfNew() Use {
	switch {
	case pol.State.Phase == Completed:
		return Established
	case pol.State.Phase == RolledBack || pol.Stopped:
		return Forbidden
	case pol.State.Phase == Shifting:
		return Preferred
	default:
		return Sampled
	}
}

// useWithoutRollout returns the use of a version that no rollout names. An order is
// written before its upstreams start, so that a version without an order is an ordinary
// one once the orders were read that late.
func (pol VersionPolicy) useWithoutRollout(ver bwmodel.VersionID) Use {
	at, listed := pol.Appeared[ver]
	if len(pol.Appeared) == 1 && listed && pol.Order == nil {
		return Established
	}
	if listed && pol.OrdersRead.Era == at.Era && pol.OrdersRead.Version >= at.Version && pol.OrdersRead != (Revision{}) {
		return Established
	}
	return Forbidden
}
