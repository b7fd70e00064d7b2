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

// MaxTransactionWrites is the maximum number of writes in one transaction of the table service.
const MaxTransactionWrites = 100

// MaxBodyBytes limits the body of a row, since the table service rejects rows above
// 400 KB.
const MaxBodyBytes = 380 << 10

// Key identifies a row.
type Key struct {
	Partition string
	Sort      string
}

// Row is one row of the table.
type Row struct {
	Key Key
	// Version is at least 1 and increases with each write that compares it.
	Version uint64
	Body    []byte
}

// Write is the write of one row in a transaction.
type Write struct {
	Row Row
	// If is the condition on the row before the write.
	If Condition
	// Delete removes the row instead of putting it.
	Delete bool
}

// Condition is a condition on a row before a write; the zero value always holds.
type Condition struct {
	kind    conditionKind
	version uint64
}

type conditionKind int

const (
	unconditional conditionKind = iota
	absent
	atVersion
)

// IfAbsent returns the condition that the row doesn't exist.
func IfAbsent() Condition { return Condition{kind: absent} }

// IfVersion returns the condition that the row exists with a version.
func IfVersion(ver uint64) Condition { return Condition{kind: atVersion, version: ver} }

// Table is a client of the platform's transactional table.
type Table struct {
	obs  observer
	api  *dynamodb.Client
	name string
}

// Get returns a row by a consistent read, or nil if it doesn't exist. Its errors are
// ErrUnavailable and ErrInvalid.
func (tab *Table) Get(ctx context.Context, key Key) (*Row, error) {
	start := time.Now()
	val, err := tab.get(ctx, key)
	tab.obs.report(TableStore, "Get", start, err)
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
	row, err := decodeItem(out.Item)
	if err != nil {
		return nil, err
	}
	return &row, nil
}

// Query returns the rows of a partition whose sort key is above after, ordered by
// key. Its errors are ErrUnavailable and ErrInvalid. The rows are read in pages, so
// the result may contain some of the writes made during the query.
func (tab *Table) Query(ctx context.Context, partition, after string) ([]Row, error) {
	start := time.Now()
	val, err := tab.query(ctx, partition, after)
	tab.obs.report(TableStore, "Query", start, err)
	return val, err
}

func (tab *Table) query(ctx context.Context, partition, after string) ([]Row, error) {
	in := &dynamodb.QueryInput{
		TableName:                &tab.name,
		ConsistentRead:           aws.Bool(true),
		KeyConditionExpression:   aws.String("#p = :p AND #s > :s"),
		ExpressionAttributeNames: map[string]string{"#p": partitionColumn, "#s": sortColumn},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": stringValue(partition), ":s": stringValue(after),
		},
	}
	if after == "" {
		// The service rejects an empty sort key.
		in.KeyConditionExpression = aws.String("#p = :p")
		in.ExpressionAttributeNames = map[string]string{"#p": partitionColumn}
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":p": stringValue(partition)}
	}
	var rows []Row
	for {
		out, err := tab.api.Query(ctx, in)
		if err != nil {
			return nil, readError("query "+partition, err)
		}
		for _, item := range out.Items {
			row, err := decodeItem(item)
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

// Insert writes a row that must not exist. Its errors are those of Write.
func (tab *Table) Insert(ctx context.Context, row Row) error {
	return tab.Write(ctx, Write{Row: row, If: IfAbsent()})
}

// Replace writes a row whose stored version must equal version. Its errors are those
// of Write.
func (tab *Table) Replace(ctx context.Context, version uint64, row Row) error {
	return tab.Write(ctx, Write{Row: row, If: IfVersion(version)})
}

// Write applies all writes or none. It accepts up to MaxTransactionWrites writes, of
// different rows. Its errors are a *ConflictError, ErrOutcomeUnknown, ErrUnavailable
// and ErrInvalid.
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
	start := time.Now()
	_, err := tab.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
	if err != nil {
		err = writeError("write "+writes[0].Row.Key.String(), err)
	}
	tab.obs.report(TableStore, "Write", start, err)
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
			map[string]types.AttributeValue{":v": numberValue(cnd.version)}
	}
	return nil, nil, nil
}

// String returns the partition and the sort key, separated by a slash.
func (key Key) String() string { return key.Partition + "/" + key.Sort }

func (key Key) item() map[string]types.AttributeValue {
	return map[string]types.AttributeValue{partitionColumn: stringValue(key.Partition), sortColumn: stringValue(key.Sort)}
}

func (row Row) item() map[string]types.AttributeValue {
	item := row.Key.item()
	item[versionColumn] = numberValue(row.Version)
	item[bodyColumn] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

func decodeItem(item map[string]types.AttributeValue) (Row, error) {
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

func stringValue(txt string) types.AttributeValue { return &types.AttributeValueMemberS{Value: txt} }

func numberValue(num uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(num, 10)}
}
