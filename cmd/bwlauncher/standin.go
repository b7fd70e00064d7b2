package bwlauncher

import (
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"bilberrywick/cmd/bwcommand"
	"bilberrywick/cmd/bwprint"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakeengine"
	"bilberrywick/standin/bwfakestore"
)

// defaultModel is the model name that examples/workshop and examples/loopback use.
const defaultModel = "pisar-model"

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in for an outside system, for tests",
		Example: "  bilberrywick standin engine --address 127.0.0.1:8000",
	}
	cmd.AddCommand(newStandinPlatformCommand(), newStandinEngineCommand(), newStandinAppCommand())
	return cmd
}

func newStandinPlatformCommand() *cobra.Command {
	pr := &bwprint.Printer{}
	cfg := bwfakestore.Config{Table: loopbackAddress(8101), Objects: loopbackAddress(8102), List: loopbackAddress(8103)}
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run the table service, the object store and the VM list",
		Example: "  bilberrywick standin platform --table 127.0.0.1:8101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			srv := bwfakestore.New(cfg)
			if err := srv.Start(cmd.Context()); err != nil {
				return err
			}
			defer srv.Close()
			addrs := struct{ Table, Objects, List netip.AddrPort }{srv.TableAddress(), srv.ObjectsAddress(), srv.ListAddress()}
			err := pr.Print(cmd.OutOrStdout(), addrs, func(out io.Writer) {
				bwprint.Linef(out, "table %v, objects %v, VM list %v", addrs.Table, addrs.Objects, addrs.List)
			})
			if err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	pr.AddFlags(cmd)
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &cfg.Table}, "table", "address on which the table service listens")
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &cfg.Objects}, "objects", "address on which the object store listens")
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &cfg.List}, "list", "address on which the VM list is served")
	return cmd
}

func newStandinEngineCommand() *cobra.Command {
	pr := &bwprint.Printer{}
	cfg := bwfakeengine.Config{Address: loopbackAddress(8000), Models: []string{defaultModel}, CacheBlocks: 4096}
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a model engine with the completions API",
		Example: "  bilberrywick standin engine --address 127.0.0.1:8000 --model pisar-model --token-time 40ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			eng, err := bwfakeengine.New(cfg)
			if err != nil {
				return err
			}
			if err := eng.Start(cmd.Context()); err != nil {
				return err
			}
			if err := printAddress(cmd.OutOrStdout(), pr, "engine", eng.Address()); err != nil {
				return err
			}
			<-cmd.Context().Done()
			return nil
		},
	}
	pr.AddFlags(cmd)
	flags := cmd.Flags()
	flags.Var(bwcommand.AddressFlag{Address: &cfg.Address}, "address", "address on which the engine listens")
	flags.StringSliceVar(&cfg.Models, "model", cfg.Models, "models that the engine has loaded")
	flags.DurationVar(&cfg.TokenTime, "token-time", devTokenTime, "time between the tokens of a sequence")
	flags.DurationVar(&cfg.FirstTokenTime, "first-token", devFirstTokenTime, "time to the first token")
	flags.IntVar(&cfg.Slots, "slots", devSlots, "maximum number of sequences in the batch")
	flags.BoolVar(&cfg.CheckFence, "checks-fence", false, "reject orders with a stale fencing token")
	return cmd
}

func newStandinAppCommand() *cobra.Command {
	pr := &bwprint.Printer{}
	cfg := bwfakeapp.Config{Name: "app", Latency: 5 * time.Millisecond}
	addr := loopbackAddress(8200)
	cmd := &cobra.Command{
		Use:     "app",
		Short:   "Run a plain application service",
		Example: "  bilberrywick standin app --address 127.0.0.1:8200 --latency 5ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			app := bwfakeapp.New(cfg)
			app.Start(cmd.Context())
			lis, err := net.Listen("tcp", addr.String())
			if err != nil {
				return err
			}
			if err := printAddress(cmd.OutOrStdout(), pr, "app", lis.Addr().(*net.TCPAddr).AddrPort()); err != nil {
				return err
			}
			return app.Serve(cmd.Context(), lis)
		},
	}
	pr.AddFlags(cmd)
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &addr}, "address", "address on which the app listens")
	cmd.Flags().StringVar(&cfg.Name, "name", cfg.Name, "name in the app's responses")
	cmd.Flags().DurationVar(&cfg.Latency, "latency", cfg.Latency, "time that an action or lookup takes")
	return cmd
}

// printAddress prints the address on which a stand-in listens.
func printAddress(out io.Writer, pr *bwprint.Printer, name string, addr netip.AddrPort) error {
	return pr.Print(out, struct{ Address netip.AddrPort }{addr}, func(out io.Writer) { bwprint.Linef(out, "%s %v", name, addr) })
}

func loopbackAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
