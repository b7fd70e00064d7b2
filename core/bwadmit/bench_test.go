package bwadmit_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
)

// BenchmarkAdmit admits and finishes one request while about one other request per
// team waits.
func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			qu, err := bwadmit.New(bwadmit.Config{
				Service: bwmodel.Service{QueueLimit: 100000, Class: bwmodel.PromptClass},
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
			var sent atomic.Int64
			b.ReportAllocs()
			b.SetParallelism(max(1, teams/10))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					name := names[sent.Add(1)%int64(teams)]
					grant, err := qu.Admit(b.Context(), request(name, bwmodel.PromptClass))
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

// BenchmarkFullQueue refuses one request to a full queue in which every team has
// requests waiting.
func BenchmarkFullQueue(b *testing.B) {
	for _, teams := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			qu, err := bwadmit.New(bwadmit.Config{
				Service: bwmodel.Service{QueueLimit: 2 * teams, Class: bwmodel.PromptClass},
				Now:     time.Now, Capacity: func() int { return 1 },
			})
			if err != nil {
				b.Fatal(err)
			}
			qu.Start(b.Context())
			if _, err := qu.Admit(b.Context(), request("first", bwmodel.PromptClass)); err != nil {
				b.Fatal(err)
			}
			for idx := range 2 * teams {
				wc := &waitingCall{qu: qu, team: bwmodel.TeamID(fmt.Sprintf("team-%d", idx%teams))}
				go wc.run(b.Context())
			}
			for qu.Load().WaitingPrompt < 2*teams {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := qu.Admit(b.Context(), request("team-0", bwmodel.PromptClass)); err == nil {
					b.Fatal("a full queue admitted a request, want a refusal")
				}
			}
		})
	}
}

// waitingCall calls Admit for a request that waits until the benchmark ends.
type waitingCall struct {
	qu   *bwadmit.Queue
	team bwmodel.TeamID
}

func (wc *waitingCall) run(ctx context.Context) {
	_, _ = wc.qu.Admit(ctx, request(wc.team, bwmodel.PromptClass))
}
