package bwgateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

// loanRequest asks another gateway for a part of its retry budget.
type loanRequest struct {
	// ID is repeated in the response.
	ID      uint64
	Service bwmodel.ServiceID
	// Amount is in extra requests and may be a fraction.
	Amount float64
}

// loan is the response to a loanRequest. A lost loan is lost for both sides, so
// that no loss adds to the fleet's extra requests.
type loan struct {
	ID     uint64
	Amount float64
}

const (
	// maxLenders is the number of gateways that one loan is requested from.
	maxLenders = 8
	// loanFactor is the factor by which the requested amounts exceed what is needed,
	// since some of the lenders have little left or don't respond.
	loanFactor = 2
	// loanTimeout is several round trips between zones, and short against the gap
	// that a stream may have.
	loanTimeout = 40 * time.Millisecond
)

// Borrow requests an amount of a service's retry budget from some other gateways.
// It returns true as soon as isEnough does so for the sum of their loans, and
// false after loanTimeout. A nil Peers returns false.
func (prs *Peers) Borrow(ctx context.Context, svc bwmodel.ServiceID, amount float64, isEnough func(sum float64) bool) bool {
	if prs == nil {
		return false
	}
	lenders := prs.pickPeers(maxLenders)
	if len(lenders) == 0 {
		return false
	}
	req := loanRequest{ID: rand.Uint64(), Service: svc, Amount: loanFactor * amount / float64(len(lenders))}
	loans := make(chan float64, len(lenders))
	prs.mu.Lock()
	prs.loans[req.ID] = loans
	prs.mu.Unlock()
	defer prs.forgetLoan(req.ID)
	data, ok := prs.encode(packet{LoanRequest: &req})
	if !ok {
		return false
	}
	prs.send(data, lenders)
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	sum := 0.0
	for range lenders {
		select {
		case lent := <-loans:
			sum += lent
			if isEnough(sum) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

func (prs *Peers) forgetLoan(id uint64) {
	prs.mu.Lock()
	defer prs.mu.Unlock()
	delete(prs.loans, id)
}

// pickPeers returns up to a number of other gateways, chosen at random.
func (prs *Peers) pickPeers(most int) []netip.AddrPort {
	addrs := *prs.addresses.Load()
	if len(addrs) <= most {
		return addrs
	}
	picked := make([]netip.AddrPort, 0, most)
	for _, ix := range rand.Perm(len(addrs))[:most] {
		picked = append(picked, addrs[ix])
	}
	return picked
}

// answerLoan lends a part of this gateway's budget and sends it.
func (prs *Peers) answerLoan(req loanRequest, from netip.AddrPort) {
	if prs.cfg.Lend == nil {
		return
	}
	// A loan of nothing tells the borrower not to wait for this gateway.
	if data, ok := prs.encode(packet{Loan: &loan{ID: req.ID, Amount: prs.cfg.Lend(req.Service, req.Amount)}}); ok {
		prs.send(data, []netip.AddrPort{from})
	}
}

func (prs *Peers) receiveLoan(lon loan) {
	prs.mu.Lock()
	loans := prs.loans[lon.ID]
	prs.mu.Unlock()
	select {
	case loans <- max(lon.Amount, 0):
	default:
		// The request is over, or a datagram came twice.
	}
}
