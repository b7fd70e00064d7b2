package bwmodel

// HTTPRequest is a call to a plain service.
type HTTPRequest struct {
	Method string
	// Path starts with a slash and may carry a query.
	Path        string
	ContentType string
	Body        []byte
}

// HTTPResponse is the whole answer of a plain service.
type HTTPResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// SettleState says what an agent knows of an action.
type SettleState int

// What an agent knows of an action.
const (
	// SettleSealed says that the action has not started and never will under the fence.
	SettleSealed SettleState = iota + 1
	// SettleRunning says that the upstream has the action and has not answered.
	SettleRunning
	// SettleDone says that the upstream has answered.
	SettleDone
	// SettleBroken says that the upstream failed after it may have run the action.
	SettleBroken
	// SettleWaiting says that the action has not started but still may.
	SettleWaiting
	// SettleEvicted says that the action may have started and been forgotten.
	SettleEvicted
)
