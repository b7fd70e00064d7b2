package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
	"bilberrywick/io/bwobserve"
	bwplatform "bilberrywick/platform"
)

// version is set by the linker in released builds.
var version = "dev"

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cmd := &cobra.Command{
		Use:           "bilberrywick-gateway",
		Short:         "Serve callers on the users' platform",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newServeCommand(), newCheckCommand(), newExplainCommand())
	if err := cmd.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bilberrywick-gateway:", err)
		return 1
	}
	return 0
}

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve until SIGTERM, and then drain",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sts, err := bwgateway.LoadSettings(path)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), path, sts)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file in JSON")
	return cmd
}

func serve(ctx context.Context, path string, sts *bwgateway.Settings) error {
	lines := bwobserve.NewNonBlockingWriter(os.Stdout)
	lctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	lines.Start(lctx)
	defer func() {
		stop()
		<-lines.Done()
	}()
	mbr := bwmodel.Member{
		ID:          bwmodel.MemberID(sts.Member),
		Incarnation: bwmodel.Incarnation(time.Now().UnixMilli()),
		Role:        bwmodel.GatewayRole,
		Region:      bwmodel.RegionID(sts.Region),
		Zone:        bwmodel.ZoneID(sts.Zone),
	}
	log := bwobserve.NewLog(bwobserve.LogConfig{NonBlocking: lines, Level: slog.LevelInfo, Member: mbr, Version: version})
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	str := bwplatform.NewStore(bwplatform.StoreConfig{Address: sts.Store})
	src := bwplatform.NewStoreFollower(bwplatform.StoreFollowerConfig{Store: str, Member: bwmodel.MemberID(sts.Member), LeaveTime: sts.LeaveTime, ChangeTime: sts.ChangeTime, Log: log})
	eng := bwplatform.NewEngineClient()
	prc, err := bwgateway.NewProcess(bwgateway.ProcessConfig{
		Settings:             sts,
		Dialect:              bwplatform.Dialect(),
		CopyKVCache:          eng.CopyKVCache,
		DropCopy:             eng.DropCopy,
		Identify:             eng.Identify,
		IdentifyModelEngine:  eng.IdentifyModelEngine,
		Watch:                src.Watch,
		ReloadSettings:       func() (*bwgateway.Settings, error) { return bwgateway.LoadSettings(path) },
		OnStoreAddressChange: str.SetAddress,
		ReloadSignals:        reloads,
		DroppedLines:         lines.Dropped,
		Log:                  log,
	})
	if err != nil {
		return err
	}
	return prc.Run(ctx)
}
