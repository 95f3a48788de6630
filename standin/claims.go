package main

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelane/boragelane/internal/stand/claims"
)

type claimsArgs struct{}

// run benchmarks the at-most-once strategies at two rates and three latencies of the platform.
func (claimsArgs) run(ctx context.Context) error {
	for _, rate := range []float64{100, 960} {
		for _, delay := range []time.Duration{2 * time.Millisecond, 42 * time.Millisecond, 112 * time.Millisecond} {
			for _, strategy := range []claims.Strategy{claims.TicketStrategy, claims.ClaimPerJob, claims.ClaimPerBatch} {
				result, err := claims.Measure(ctx, time.Now, strategy, rate, delay)
				if err != nil {
					return err
				}
				fmt.Println(result)
			}
		}
	}
	return nil
}
