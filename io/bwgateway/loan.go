package bwgateway

import (
	"context"
	"iter"
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
	ID      uint64
	Service bwmodel.ServiceID
	Amount  float64
}

const (
	// loanFactor is the factor by which the requested amounts exceed what is needed,
	// since some of the lenders have little left or don't respond.
	loanFactor = 2
	// loanTimeout bounds the wait for one group of lenders. It is several round trips
	// between zones, and short against the gap that a stream may have.
	loanTimeout = 40 * time.Millisecond
)

// Borrow requests an amount of a service's retry budget from other gateways. It
// returns true as soon as isEnough does so for the sum of their loans, and false
// if it did not for those of all groups of lenders. A nil Peers returns false.
func (prs *Peers) Borrow(ctx context.Context, svc bwmodel.ServiceID, amount float64, isEnough func(sum float64) bool) bool {
	if prs == nil {
		return false
	}
	sum := 0.0
	for _, lenders := range prs.fleet.Load().Lenders() {
		req := loanRequest{ID: rand.Uint64(), Service: svc, Amount: loanFactor * amount / float64(len(lenders))}
		for lent := range prs.requestLoans(ctx, req, lenders) {
			sum += lent
			if isEnough(sum) {
				return true
			}
		}
	}
	return false
}

// requestLoans returns the loans as they arrive, until all lenders have responded
// or loanTimeout has passed.
func (prs *Peers) requestLoans(ctx context.Context, req loanRequest, lenders []netip.AddrPort) iter.Seq[float64] {
	return func(yield func(float64) bool) {
		data, ok := prs.encode(packet{LoanRequest: &req})
		if !ok {
			return
		}
		loans := make(chan float64, len(lenders))
		prs.mu.Lock()
		prs.loans[req.ID] = loans
		prs.mu.Unlock()
		defer prs.forgetLoan(req.ID)
		prs.send(data, lenders)
		ctx, cancel := context.WithTimeout(ctx, loanTimeout)
		defer cancel()
		for range lenders {
			select {
			case lent := <-loans:
				if !yield(lent) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}

func (prs *Peers) forgetLoan(id uint64) {
	prs.mu.Lock()
	defer prs.mu.Unlock()
	delete(prs.loans, id)
}

// answerLoan lends a part of this gateway's budget and sends it.
func (prs *Peers) answerLoan(req loanRequest, from netip.AddrPort) {
	if prs.cfg.Lend == nil {
		return
	}
	// A loan of nothing tells the borrower not to wait for this gateway.
	if data, ok := prs.encode(packet{Loan: &loan{ID: req.ID, Service: req.Service, Amount: prs.cfg.Lend(req.Service, req.Amount)}}); ok {
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
		// Enough came before this loan.
		if prs.cfg.KeepLoan != nil {
			prs.cfg.KeepLoan(lon.Service, lon.Amount)
		}
	}
}
