package bwlauncher

import (
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwwire"
)

// CheckTicket returns all faults of a ticket applied to a state as a
// *bwsettings.Error, or another error when the state is invalid; a nil state is empty.
func CheckTicket(doc *bwwire.TicketDocument, before *bwwire.StateDocument) error {
	st := bwticket.NewState(bwticket.StateConfig{})
	if before != nil {
		var err error
		if st, err = before.State(); err != nil {
			return err
		}
	}
	return bwadmin.FaultsError(doc.Check(st))
}
