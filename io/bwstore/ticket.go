package bwstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwwire"
)

// Partitions of the table that contain tickets, and prefixes of the sort keys in the
// object partition.
const (
	headPartition   = "Head"
	headSort        = "Head"
	ticketPartition = "Ticket"
	objectPartition = "Object"

	servicePrefix  = "Service/"
	teamPrefix     = "Team/"
	upstreamPrefix = "Upstream/"
)

// TicketStore stores the history of change tickets and the current objects in the table.
// It returns the errors of bwticket.
type TicketStore struct{ tab *Table }

// NewTicketStore returns the ticket store of a table.
func NewTicketStore(tab *Table) *TicketStore { return &TicketStore{tab: tab} }

// Registry returns a bwticket.Registry that reads and commits in the table. base
// returns a state that the caller already has, so that only later tickets are read;
// it may return nil.
func (tks *TicketStore) Registry(base func() *bwticket.State) *bwticket.Registry {
	rdr := &stateReader{tks: tks, base: base}
	return &bwticket.Registry{
		ReadState:  rdr.read,
		ReadTicket: tks.Ticket,
		Commit:     tks.Commit,
		Digest:     bwwire.TicketDigest,
		Pause:      waitRetry,
		Now:        time.Now,
	}
}

// Head returns the number of the last accepted ticket, or 0 if there is none.
func (tks *TicketStore) Head(ctx context.Context) (bwmodel.TicketNumber, error) {
	row, err := tks.tab.Get(ctx, Key{Partition: headPartition, Sort: headSort})
	if err != nil {
		return 0, ticketError(err)
	}
	if row == nil {
		return 0, nil
	}
	return bwmodel.TicketNumber(row.Version), nil
}

// Ticket returns an accepted ticket, or nil if there is none with the number.
func (tks *TicketStore) Ticket(ctx context.Context, num bwmodel.TicketNumber) (*bwticket.AcceptedTicket, error) {
	row, err := tks.tab.Get(ctx, ticketKey(num))
	if err != nil {
		return nil, ticketError(err)
	}
	if row == nil {
		return nil, nil
	}
	acc, err := decodeTicket(*row)
	if err != nil {
		return nil, err
	}
	return &acc, nil
}

// TicketsAfter returns the accepted tickets with numbers above num, in order. It misses
// no ticket between two that it returns, since each new ticket has a higher number
// than all earlier ones.
func (tks *TicketStore) TicketsAfter(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error) {
	rows, err := tks.tab.Query(ctx, ticketPartition, ticketKey(num).Sort)
	if err != nil {
		return nil, ticketError(err)
	}
	tickets := make([]bwticket.AcceptedTicket, 0, len(rows))
	for _, row := range rows {
		acc, err := decodeTicket(row)
		if err != nil {
			return nil, err
		}
		tickets = append(tickets, acc)
	}
	return tickets, nil
}

// ReadState returns the state at the head. If base is not nil, it reads only the tickets
// after base.
func (tks *TicketStore) ReadState(ctx context.Context, base *bwticket.State) (*bwticket.State, error) {
	if base == nil || base.Number() == 0 {
		return tks.readObjects(ctx)
	}
	head, err := tks.Head(ctx)
	if err != nil || head <= base.Number() {
		return base, err
	}
	tickets, err := tks.TicketsAfter(ctx, base.Number())
	if err != nil {
		return nil, err
	}
	st := base
	for _, acc := range tickets {
		if st, err = st.Apply(acc); err != nil {
			// base isn't part of this table's history.
			return tks.readObjects(ctx)
		}
	}
	return st, nil
}

// Commit writes an accepted ticket, its objects and the head in one transaction.
func (tks *TicketStore) Commit(ctx context.Context, acc bwticket.AcceptedTicket) error {
	writes, err := ticketWrites(acc)
	if err != nil {
		return err
	}
	return ticketError(tks.tab.Write(ctx, writes...))
}

// readObjects reads all object rows. Since the head is read first, the rows may
// already contain objects of later tickets. readObjects therefore applies all later
// tickets to the result. This is exact, since each ticket sets its objects in full.
func (tks *TicketStore) readObjects(ctx context.Context) (*bwticket.State, error) {
	head, err := tks.Head(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := tks.tab.Query(ctx, objectPartition, "")
	if err != nil {
		return nil, ticketError(err)
	}
	doc := bwwire.StateDocument{Number: head}
	for _, row := range rows {
		if err := addObject(&doc, row); err != nil {
			return nil, err
		}
	}
	st, err := doc.State()
	if err != nil {
		return nil, fmt.Errorf("object rows: %w", err)
	}
	tickets, err := tks.TicketsAfter(ctx, head)
	if err != nil {
		return nil, err
	}
	for _, acc := range tickets {
		st = st.Overlay(acc.Ticket)
	}
	return st, nil
}

// retryDelay is the delay between the retries of a write whose outcome is unknown.
const retryDelay = 100 * time.Millisecond

func waitRetry(ctx context.Context) error {
	tmr := time.NewTimer(retryDelay)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type stateReader struct {
	tks  *TicketStore
	base func() *bwticket.State
}

func (rdr *stateReader) read(ctx context.Context) (*bwticket.State, error) {
	return rdr.tks.ReadState(ctx, rdr.base())
}

func ticketWrites(acc bwticket.AcceptedTicket) ([]Write, error) {
	doc := bwwire.NewAcceptedDocument(acc)
	num := acc.Ticket.Number
	head := Write{
		Row: Row{Key: Key{Partition: headPartition, Sort: headSort}, Version: uint64(num), Body: []byte("{}")},
		If:  IfVersion(uint64(acc.Previous)),
	}
	if acc.Previous == 0 {
		head.If = IfAbsent()
	}
	enc := &rowEncoder{num: num, writes: []Write{head}}
	enc.putRow(ticketKey(num), IfAbsent(), doc)
	for _, svc := range doc.Ticket.Services {
		enc.putRow(objectKey(servicePrefix, svc.Name), Condition{}, bwwire.ServiceEntry{SetBy: num, Service: svc})
	}
	for _, team := range doc.Ticket.Teams {
		enc.putRow(objectKey(teamPrefix, team.Name), Condition{}, bwwire.TeamEntry{SetBy: num, Team: team})
	}
	for _, ups := range doc.Ticket.Upstreams {
		enc.putRow(objectKey(upstreamPrefix, ups.Name), Condition{}, bwwire.UpstreamEntry{SetBy: num, Upstream: ups})
	}
	for _, id := range doc.Ticket.Remove.Services {
		enc.deleteRow(objectKey(servicePrefix, id))
	}
	for _, id := range doc.Ticket.Remove.Teams {
		enc.deleteRow(objectKey(teamPrefix, id))
	}
	for _, id := range doc.Ticket.Remove.Upstreams {
		enc.deleteRow(objectKey(upstreamPrefix, id))
	}
	return enc.writes, errors.Join(enc.errs...)
}

// rowEncoder collects the writes of one ticket.
type rowEncoder struct {
	num    bwmodel.TicketNumber
	writes []Write
	errs   []error
}

func (enc *rowEncoder) putRow(key Key, cond Condition, body any) {
	buf, err := json.Marshal(body)
	if err != nil {
		enc.errs = append(enc.errs, fmt.Errorf("encode row %v: %w", key, err))
		return
	}
	enc.writes = append(enc.writes, Write{Row: Row{Key: key, Version: uint64(enc.num), Body: buf}, If: cond})
}

func (enc *rowEncoder) deleteRow(key Key) {
	enc.writes = append(enc.writes, Write{Row: Row{Key: key}, Delete: true})
}

func addObject(doc *bwwire.StateDocument, row Row) error {
	var err error
	switch {
	case hasPrefix(row, servicePrefix):
		err = appendEntry(&doc.Services, row)
	case hasPrefix(row, teamPrefix):
		err = appendEntry(&doc.Teams, row)
	case hasPrefix(row, upstreamPrefix):
		err = appendEntry(&doc.Upstreams, row)
	default:
		err = errors.New("unknown kind of object")
	}
	if err != nil {
		return fmt.Errorf("row %v: %w", row.Key, err)
	}
	return nil
}

func hasPrefix(row Row, prefix string) bool {
	return len(row.Key.Sort) > len(prefix) && row.Key.Sort[:len(prefix)] == prefix
}

func appendEntry[T any](entries *[]T, row Row) error {
	var ent T
	if err := json.Unmarshal(row.Body, &ent); err != nil {
		return err
	}
	*entries = append(*entries, ent)
	return nil
}

func decodeTicket(row Row) (bwticket.AcceptedTicket, error) {
	var doc bwwire.AcceptedDocument
	if err := json.Unmarshal(row.Body, &doc); err != nil {
		return bwticket.AcceptedTicket{}, fmt.Errorf("row %v: %w", row.Key, err)
	}
	return doc.AcceptedTicket()
}

// ticketKey pads the number with zeros so that the sort keys are in numeric order.
func ticketKey(num bwmodel.TicketNumber) Key {
	return Key{Partition: ticketPartition, Sort: fmt.Sprintf("%020d", num)}
}

func objectKey[T ~string](prefix string, name T) Key {
	return Key{Partition: objectPartition, Sort: prefix + string(name)}
}

// ticketError translates an error of the table into one of bwticket.
func ticketError(err error) error {
	switch {
	case errors.Is(err, ErrConflict):
		return fmt.Errorf("%w: %w", bwticket.ErrHeadChanged, err)
	case errors.Is(err, ErrOutcomeUnknown):
		return fmt.Errorf("%w: %w", bwticket.ErrOutcomeUnknown, err)
	case errors.Is(err, ErrUnavailable):
		return fmt.Errorf("%w: %w", bwticket.ErrUnavailable, err)
	}
	return err
}
