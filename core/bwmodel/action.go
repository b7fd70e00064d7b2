package bwmodel

// HTTPRequest is a request to a plain service.
type HTTPRequest struct {
	Method string
	// Path starts with a slash and may include a query.
	Path        string
	ContentType string
	Body        []byte
}

// HTTPResponse is a complete response of a plain service.
type HTTPResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// SettleState is the state of an action as its agent reports it.
type SettleState int

// States of an action.
const (
	// SettleSealed means that the action has not started and can no longer start
	// under the fence of the request.
	SettleSealed SettleState = iota + 1
	// SettleRunning means that the action was sent to the upstream, which has not
	// answered.
	SettleRunning
	// SettleDone means that the upstream has answered.
	SettleDone
	// SettleBroken means that the upstream failed after it may have run the action.
	SettleBroken
	// SettleWaiting means that the action has not started but still may.
	SettleWaiting
	// SettleEvicted means that the action may have started, but the agent no longer
	// has its result.
	SettleEvicted
)
