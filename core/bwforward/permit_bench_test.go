package bwforward_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// BenchmarkPermitHolder measures what a request to a limited upstream costs in a fleet of
// 1,000 gateways, at the gateway that asks and at the one that grants.
func BenchmarkPermitHolder(b *testing.B) {
	var holders []bwforward.PermitHolder
	for ix := range 1000 {
		holders = append(holders, bwforward.PermitHolder{Member: bwmodel.MemberID(fmt.Sprintf("front-zone-%d", ix)), Until: 1 << 62})
	}
	for ix := 0; b.Loop(); ix++ {
		bwforward.NewPermitWindow("i-aace57a97e", 2, time.Duration(ix)*time.Second).Holder(holders)
	}
}
