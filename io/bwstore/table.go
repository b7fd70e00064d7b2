package bwstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// Names of the table's columns.
const (
	partitionColumn = "Partition"
	sortColumn      = "Sort"
	versionColumn   = "Version"
	bodyColumn      = "Body"
)

// MaxTransactionWrites is the number of rows that the table service commits at a time.
const MaxTransactionWrites = 100

// MaxBodyBytes bounds the body of a row; the table service refuses rows above 400 KB.
const MaxBodyBytes = 380 << 10

// Key identifies a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table.
type Row struct {
	Key Key
	// Version is at least 1 and rises with each write that compares it.
	Version uint64
	Body    []byte
}

// Write is one row of a transaction.
type Write struct {
	Row Row
	// If is the condition on the row before the write.
	If Condition
	// Delete removes the row instead of putting it.
	Delete bool
}

// Condition is what a row must be for a write to take effect; the zero value
// asks for nothing.
type Condition struct {
	kind    conditionKind
	version uint64
}

type conditionKind int

const (
	always conditionKind = iota
	absent
	atVersion
)

// IfAbsent asks that the row doesn't exist.
func IfAbsent() Condition { return Condition{kind: absent} }

// IfVersion asks that the row exists with a version.
func IfVersion(ver uint64) Condition { return Condition{kind: atVersion, version: ver} }

// Table is a client of the platform's transactional table.
type Table struct {
	obs  observer
	api  *dynamodb.Client
	name string
}

// Get returns a row as of now, or nil when there is none, or ErrUnavailable.
func (tab *Table) Get(ctx context.Context, key Key) (*Row, error) {
	began := time.Now()
	val, err := tab.get(ctx, key)
	tab.obs.done(TableStore, "Get", began, err)
	return val, err
}

func (tab *Table) get(ctx context.Context, key Key) (*Row, error) {
	out, err := tab.api.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &tab.name,
		Key:            key.item(),
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return nil, readError("get "+key.String(), err)
	}
	if len(out.Item) == 0 {
		return nil, nil
	}
	row, err := readItem(out.Item)
	if err != nil {
		return nil, err
	}
	return &row, nil
}

// Query returns the rows of a partition whose sort key is above after, in the
// order of their keys, or ErrUnavailable. The rows are read in pages, so that
// writes during the query may show in some of them.
func (tab *Table) Query(ctx context.Context, partition, after string) ([]Row, error) {
	began := time.Now()
	val, err := tab.query(ctx, partition, after)
	tab.obs.done(TableStore, "Query", began, err)
	return val, err
}

func (tab *Table) query(ctx context.Context, partition, after string) ([]Row, error) {
	in := &dynamodb.QueryInput{
		TableName:                &tab.name,
		ConsistentRead:           aws.Bool(true),
		KeyConditionExpression:   aws.String("#p = :p AND #s > :s"),
		ExpressionAttributeNames: map[string]string{"#p": partitionColumn, "#s": sortColumn},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": text(partition), ":s": text(after),
		},
	}
	if after == "" {
		// The service refuses an empty sort key.
		in.KeyConditionExpression = aws.String("#p = :p")
		in.ExpressionAttributeNames = map[string]string{"#p": partitionColumn}
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":p": text(partition)}
	}
	var rows []Row
	for {
		out, err := tab.api.Query(ctx, in)
		if err != nil {
			return nil, readError("query "+partition, err)
		}
		for _, item := range out.Items {
			row, err := readItem(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		if len(out.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

// Insert puts a row that must not exist, or returns ErrConflict, ErrUnsure or
// ErrUnavailable.
func (tab *Table) Insert(ctx context.Context, row Row) error {
	return tab.Write(ctx, Write{Row: row, If: IfAbsent()})
}

// Replace puts a row whose version must still be old, or returns ErrConflict,
// ErrUnsure or ErrUnavailable.
func (tab *Table) Replace(ctx context.Context, old uint64, row Row) error {
	return tab.Write(ctx, Write{Row: row, If: IfVersion(old)})
}

// Write applies all writes or none, or returns a *ConflictError, ErrUnsure or
// ErrUnavailable. It takes up to MaxWrites writes of different rows.
func (tab *Table) Write(ctx context.Context, writes ...Write) error {
	if len(writes) == 0 || len(writes) > MaxTransactionWrites {
		return fmt.Errorf("transaction of %d writes, want 1 to %d: %w", len(writes), MaxTransactionWrites, ErrInvalid)
	}
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, wr := range writes {
		if len(wr.Row.Body) > MaxBodyBytes {
			return fmt.Errorf("row %v has %d bytes, at most %d are allowed: %w", wr.Row.Key, len(wr.Row.Body), MaxBodyBytes, ErrInvalid)
		}
		items = append(items, tab.item(wr))
	}
	began := time.Now()
	_, err := tab.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err != nil {
		err = writeError("write "+writes[0].Row.Key.String(), err)
	}
	tab.obs.done(TableStore, "Write", began, err)
	return err
}

func (tab *Table) item(wr Write) types.TransactWriteItem {
	expr, names, values := wr.If.expression()
	if wr.Delete {
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName:                 &tab.name,
			Key:                       wr.Row.Key.item(),
			ConditionExpression:       expr,
			ExpressionAttributeNames:  names,
			ExpressionAttributeValues: values,
		}}
	}
	return types.TransactWriteItem{Put: &types.Put{
		TableName:                 &tab.name,
		Item:                      wr.Row.item(),
		ConditionExpression:       expr,
		ExpressionAttributeNames:  names,
		ExpressionAttributeValues: values,
	}}
}

func (cnd Condition) expression() (*string, map[string]string, map[string]types.AttributeValue) {
	switch cnd.kind {
	case absent:
		return aws.String("attribute_not_exists(#p)"), map[string]string{"#p": partitionColumn}, nil
	case atVersion:
		return aws.String("#v = :v"), map[string]string{"#v": versionColumn},
			map[string]types.AttributeValue{":v": number(cnd.version)}
	}
	return nil, nil, nil
}

// String returns the partition and the sort key, separated by a slash.
func (key Key) String() string { return key.Partition + "/" + key.Sort }

func (key Key) item() map[string]types.AttributeValue {
	return map[string]types.AttributeValue{partitionColumn: text(key.Partition), sortColumn: text(key.Sort)}
}

func (row Row) item() map[string]types.AttributeValue {
	item := row.Key.item()
	item[versionColumn] = number(row.Version)
	item[bodyColumn] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

func readItem(item map[string]types.AttributeValue) (Row, error) {
	partition, okPart := item[partitionColumn].(*types.AttributeValueMemberS)
	sort, okSort := item[sortColumn].(*types.AttributeValueMemberS)
	version, okVer := item[versionColumn].(*types.AttributeValueMemberN)
	body, okBody := item[bodyColumn].(*types.AttributeValueMemberB)
	if !okPart || !okSort || !okVer || !okBody {
		return Row{}, fmt.Errorf("row lacks a column or has one of another type: %w", ErrInvalid)
	}
	key := Key{Partition: partition.Value, Sort: sort.Value}
	ver, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("version of row %v: %w", key, errors.Join(ErrInvalid, err))
	}
	return Row{Key: key, Version: ver, Body: body.Value}, nil
}

func text(txt string) types.AttributeValue { return &types.AttributeValueMemberS{Value: txt} }

func number(num uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(num, 10)}
}
