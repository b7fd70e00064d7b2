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

// standinModel is the model of the workshop and of examples/loopback.
const standinModel = "pisar-model"

func newStandinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in for an outside system, for tests",
		Example: "  bilberrywick standin engine --address 127.0.0.1:8000",
	}
	cmd.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinApp())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	pr := &bwprint.Printer{}
	cfg := bwfakestore.Config{Table: loopbackPort(8101), Objects: loopbackPort(8102), List: loopbackPort(8103)}
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
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &cfg.Table}, "table", "where the table service listens")
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &cfg.Objects}, "objects", "where the object store listens")
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &cfg.List}, "list", "where the VM list is served")
	return cmd
}

func newStandinEngine() *cobra.Command {
	pr := &bwprint.Printer{}
	cfg := bwfakeengine.Config{Address: loopbackPort(8000), Models: []string{standinModel}, CacheBlocks: 4096}
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a model engine that speaks the completions protocol",
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
	flags.Var(bwcommand.AddressFlag{Address: &cfg.Address}, "address", "where the engine listens")
	flags.StringSliceVar(&cfg.Models, "model", cfg.Models, "models that the engine has loaded")
	flags.DurationVar(&cfg.TokenTime, "token-time", devTokenTime, "time between the tokens of a sequence")
	flags.DurationVar(&cfg.FirstTokenTime, "first-token", devFirstToken, "time to the first token")
	flags.IntVar(&cfg.Slots, "slots", devSlots, "sequences in the batch")
	flags.BoolVar(&cfg.CheckFence, "checks-fence", false, "refuse orders with an old fencing number")
	return cmd
}

func newStandinApp() *cobra.Command {
	pr := &bwprint.Printer{}
	cfg := bwfakeapp.Config{Name: "app", Latency: 5 * time.Millisecond}
	addr := loopbackPort(8200)
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
	cmd.Flags().Var(bwcommand.AddressFlag{Address: &addr}, "address", "where the app listens")
	cmd.Flags().StringVar(&cfg.Name, "name", cfg.Name, "name in the app's answers")
	cmd.Flags().DurationVar(&cfg.Latency, "latency", cfg.Latency, "time that an action or lookup takes")
	return cmd
}

// printAddress says where a stand-in listens.
func printAddress(out io.Writer, pr *bwprint.Printer, name string, addr netip.AddrPort) error {
	return pr.Print(out, struct{ Address netip.AddrPort }{addr}, func(out io.Writer) { bwprint.Linef(out, "%s %v", name, addr) })
}

func loopbackPort(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
