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

// Partitions of the table that hold tickets, and prefixes of sort keys within
// the object partition.
const (
	headPartition   = "Head"
	headSort        = "Head"
	ticketPartition = "Ticket"
	objectPartition = "Object"

	servicePrefix  = "Service/"
	teamPrefix     = "Team/"
	upstreamPrefix = "Upstream/"
)

// TicketStore keeps the history of change tickets and the objects in effect in the
// table. It returns the errors of bwticket.
type TicketStore struct{ tab *Table }

// NewTicketStore returns the tickets of a table.
func NewTicketStore(tab *Table) *TicketStore { return &TicketStore{tab: tab} }

// Registry returns the acceptance decision over the table. Base returns a
// state that is known already, so that only later tickets are read; it may
// return nil.
func (tks *TicketStore) Registry(base func() *bwticket.State) *bwticket.Registry {
	rdr := &stateReader{tks: tks, base: base}
	return &bwticket.Registry{
		ReadState:  rdr.read,
		ReadTicket: tks.Ticket,
		Commit:     tks.Commit,
		Digest:     bwwire.TicketDigest,
		Pause:      pause,
		Now:        time.Now,
	}
}

// Head returns the number of the last accepted ticket, 0 before the first.
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

// Ticket returns an accepted ticket, or nil when there is none with the number.
func (tks *TicketStore) Ticket(ctx context.Context, num bwmodel.TicketNumber) (*bwticket.AcceptedTicket, error) {
	row, err := tks.tab.Get(ctx, ticketKey(num))
	if err != nil {
		return nil, ticketError(err)
	}
	if row == nil {
		return nil, nil
	}
	acc, err := readTicket(*row)
	if err != nil {
		return nil, err
	}
	return &acc, nil
}

// TicketsAfter returns the accepted tickets with numbers above num, in order. It
// misses none between two that it returns, since each new one has a higher number.
func (tks *TicketStore) TicketsAfter(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error) {
	rows, err := tks.tab.Query(ctx, ticketPartition, ticketKey(num).Sort)
	if err != nil {
		return nil, ticketError(err)
	}
	accs := make([]bwticket.AcceptedTicket, 0, len(rows))
	for _, row := range rows {
		acc, err := readTicket(row)
		if err != nil {
			return nil, err
		}
		accs = append(accs, acc)
	}
	return accs, nil
}

// ReadState returns the state at the head. It reads only the tickets after base
// when base is not nil.
func (tks *TicketStore) ReadState(ctx context.Context, base *bwticket.State) (*bwticket.State, error) {
	if base == nil || base.Number() == 0 {
		return tks.readObjects(ctx)
	}
	head, err := tks.Head(ctx)
	if err != nil || head <= base.Number() {
		return base, err
	}
	accs, err := tks.TicketsAfter(ctx, base.Number())
	if err != nil {
		return nil, err
	}
	st := base
	for _, acc := range accs {
		if st, err = st.Apply(acc); err != nil {
			// The base isn't part of this table's history.
			return tks.readObjects(ctx)
		}
	}
	return st, nil
}

// Commit writes an accepted ticket in one transaction.
func (tks *TicketStore) Commit(ctx context.Context, acc bwticket.AcceptedTicket) error {
	writes, err := ticketWrites(acc)
	if err != nil {
		return err
	}
	return ticketError(tks.tab.Write(ctx, writes...))
}

// readObjects reads all object rows. Rows written during the read may show
// objects of tickets after the head that was read first, so those tickets are
// laid over the result; each sets its objects whole, so that is exact.
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
	accs, err := tks.TicketsAfter(ctx, head)
	if err != nil {
		return nil, err
	}
	for _, acc := range accs {
		st = st.Overlay(acc.Ticket)
	}
	return st, nil
}

// pauseTime separates the repeats of a write whose outcome is unknown.
const pauseTime = 100 * time.Millisecond

func pause(ctx context.Context) error {
	tmr := time.NewTimer(pauseTime)
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
	enc.add(ticketKey(num), IfAbsent(), doc)
	for _, svc := range doc.Ticket.Services {
		enc.add(objectKey(servicePrefix, svc.Name), Condition{}, bwwire.ServiceEntry{SetBy: num, Service: svc})
	}
	for _, team := range doc.Ticket.Teams {
		enc.add(objectKey(teamPrefix, team.Name), Condition{}, bwwire.TeamEntry{SetBy: num, Team: team})
	}
	for _, ups := range doc.Ticket.Upstreams {
		enc.add(objectKey(upstreamPrefix, ups.Name), Condition{}, bwwire.UpstreamEntry{SetBy: num, Upstream: ups})
	}
	for _, id := range doc.Ticket.Remove.Services {
		enc.remove(objectKey(servicePrefix, id))
	}
	for _, id := range doc.Ticket.Remove.Teams {
		enc.remove(objectKey(teamPrefix, id))
	}
	for _, id := range doc.Ticket.Remove.Upstreams {
		enc.remove(objectKey(upstreamPrefix, id))
	}
	return enc.writes, errors.Join(enc.errs...)
}

// rowEncoder collects the writes of one ticket.
type rowEncoder struct {
	num    bwmodel.TicketNumber
	writes []Write
	errs   []error
}

func (enc *rowEncoder) add(key Key, cond Condition, body any) {
	buf, err := json.Marshal(body)
	if err != nil {
		enc.errs = append(enc.errs, fmt.Errorf("encode row %v: %w", key, err))
		return
	}
	enc.writes = append(enc.writes, Write{Row: Row{Key: key, Version: uint64(enc.num), Body: buf}, If: cond})
}

func (enc *rowEncoder) remove(key Key) {
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

func readTicket(row Row) (bwticket.AcceptedTicket, error) {
	var doc bwwire.AcceptedDocument
	if err := json.Unmarshal(row.Body, &doc); err != nil {
		return bwticket.AcceptedTicket{}, fmt.Errorf("row %v: %w", row.Key, err)
	}
	return doc.AcceptedTicket()
}

// ticketKey pads the number so that keys sort as numbers do.
func ticketKey(num bwmodel.TicketNumber) Key {
	return Key{Partition: ticketPartition, Sort: fmt.Sprintf("%020d", num)}
}

func objectKey[T ~string](prefix string, name T) Key {
	return Key{Partition: objectPartition, Sort: prefix + string(name)}
}

// ticketError translates an error of the table into those of bwticket.
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
