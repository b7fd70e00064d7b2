package bwadmit_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
)

// BenchmarkAdmit admits and ends one request while about as many others wait as
// there are teams.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			qu, err := bwadmit.New(bwadmit.Config{
				Service: bwmodel.Service{QueueLimit: 100000, Class: bwmodel.Prompt},
				Now:     time.Now, Capacity: func() int { return 64 },
			})
			if err != nil {
				b.Fatal(err)
			}
			qu.Start(b.Context())
			names := make([]bwmodel.TeamID, teams)
			for idx := range names {
				names[idx] = bwmodel.TeamID(fmt.Sprintf("team-%d", idx))
			}
			var turn atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(max(1, teams/10))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					name := names[turn.Add(1)%int64(teams)]
					grant, err := qu.Admit(b.Context(), request(name, bwmodel.Prompt))
					if err != nil {
						b.Error(err)
						return
					}
					grant.Finish(10)
				}
			})
		})
	}
}
