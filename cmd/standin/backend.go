package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cranberrywalk/cranberrywalk/clock"
	"github.com/cranberrywalk/cranberrywalk/standin/engine"
	"github.com/cranberrywalk/cranberrywalk/standin/service"
)

func newEngine() *cobra.Command {
	command := &cobra.Command{Use: "engine", Short: "Serve a model engine", Args: cobra.NoArgs}
	parameters := engineFlags(command.Flags())
	speed := command.Flags().Float64("speed", 1, "factor by which the engine computes faster")
	exits := command.Flags().Bool("exit-on-crash", false, "end the process with status 2 when the engine crashes")
	command.RunE = func(command *cobra.Command, _ []string) error {
		e := engine.New(command.Context(), clock.Real(), parameters.WithSpeed(*speed))
		if *exits {
			return serve(command, e, e.Crashed())
		}
		return serve(command, e, nil)
	}
	return command
}

func engineFlags(flags *pflag.FlagSet) *engine.Parameters {
	p := engine.DefaultParameters()
	flags.Float64Var(&p.PrefillTokensPerSecond, "prefill-tokens-per-second", p.PrefillTokensPerSecond, "rate of prefill")
	flags.DurationVar(&p.DecodeInterval, "decode-interval", p.DecodeInterval, "time between tokens up to a full batch")
	flags.IntVar(&p.FullBatch, "full-batch", p.FullBatch, "streams above which decoding slows down")
	flags.DurationVar(&p.StreamInterval, "stream-interval", p.StreamInterval, "time added for each stream above a full batch")
	flags.IntVar(&p.MaxBatch, "max-batch", p.MaxBatch, "largest number of streams in the batch")
	flags.IntVar(&p.MaxQueue, "max-queue", p.MaxQueue, "largest number of waiting requests")
	flags.IntVar(&p.CacheTokens, "cache-tokens", p.CacheTokens, "size of the prefix cache")
	flags.IntVar(&p.AnswerTokens, "answer-tokens", p.AnswerTokens, "length of an answer without max_tokens")
	flags.StringSliceVar(&p.Models, "models", p.Models, "models that are loaded at first; none accepts every model")
	flags.BoolVar(&p.ChecksFencing, "checks-fencing", p.ChecksFencing, "refuse orders with old fencing tokens")
	flags.DurationVar(&p.LoadLag, "load-lag", p.LoadLag, "age at which a load report is renewed")
	flags.DurationVar(&p.EventLag, "event-lag", p.EventLag, "time after which a cache event is published")
	flags.Uint64Var(&p.LostEventEvery, "lost-event-every", p.LostEventEvery, "lose one cache event of so many; 0 for none")
	return &p
}

func newService() *cobra.Command {
	command := &cobra.Command{Use: "service", Short: "Serve a plain service", Args: cobra.NoArgs}
	var parameters service.Parameters
	command.Flags().StringVar(&parameters.Name, "name", "service", "name that the answers show")
	command.Flags().DurationVar(&parameters.Delay, "delay", 0, "time that each request takes to run")
	command.RunE = func(command *cobra.Command, _ []string) error {
		return serve(command, service.New(clock.Real(), parameters), nil)
	}
	return command
}
