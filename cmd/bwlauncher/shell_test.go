package bwlauncher_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrywick/cmd/bwcommand"
	"bilberrywick/cmd/bwlauncher"
)

// patience bounds the wait for an output that the page promises soon; it only
// decides when a failing test gives up.
const patience = 30 * time.Second

// shell runs the few commands that the page uses, without child processes.
type shell struct {
	t    *testing.T
	dir  string
	move *strings.Replacer
	back *strings.Replacer
	env  map[string]string
	jobs []*job
}

// job is a command in the background.
type job struct {
	shl  *shell
	args []string
	out  *output
	// hidden says that the output goes to a file.
	hidden bool
	cancel context.CancelFunc
	ended  chan struct{}
	code   int
}

// output collects what a command writes, possibly from several goroutines.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends a part.
func (out *output) Write(data []byte) (int, error) {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.Write(data)
}

func (out *output) text() string {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.String()
}

func newShell(t *testing.T, examples string) *shell {
	own := reserveAddress(t)
	shl := &shell{
		t:    t,
		move: strings.NewReplacer("127.0.0.1", own),
		back: strings.NewReplacer(own, "127.0.0.1"),
		env:  make(map[string]string),
	}
	shl.dir = copyExamples(t, examples, shl.move)
	t.Cleanup(shl.close)
	return shl
}

// reserveAddress returns a loopback address of the same length as 127.0.0.1 that
// no other test uses. Every address in 127.0.0.0/8 is loopback; a listener on
// one port reserves it until the test ends.
func reserveAddress(t *testing.T) string {
	t.Helper()
	const first, last = 111, 999
	for num := first; num <= last; num++ {
		own := fmt.Sprintf("127.%d.%d.%d", num/100, num/10%10, num%10)
		lis, err := net.Listen("tcp", own+":7009")
		if err == nil {
			t.Cleanup(func() { _ = lis.Close() })
			return own
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

func (shl *shell) close() {
	for _, jb := range shl.jobs {
		jb.cancel()
		<-jb.ended
	}
}

// play runs the commands of a step and compares their output. A step that only
// reads is repeated until its output is as the page says.
func (shl *shell) play(stp step) {
	shl.t.Helper()
	ctx, cancel := context.WithTimeout(shl.t.Context(), patience)
	defer cancel()
	for {
		var out output
		var started []*job
		for _, line := range stp.commands {
			if jb := shl.run(ctx, line, &out); jb != nil && !jb.hidden {
				started = append(started, jb)
			}
		}
		diff := shl.compare(ctx, stp.want, &out, started)
		if diff == "" {
			return
		}
		if !readsOnly(stp.commands) || ctx.Err() != nil {
			shl.t.Fatalf("%s:\n%s", strings.Join(stp.commands, "\n"), diff)
		}
		pause(ctx)
	}
}

// compare waits for the output of jobs that were started, and returns how the
// output differs from the page.
func (shl *shell) compare(ctx context.Context, want string, out *output, started []*job) string {
	if want == "" {
		return failure.FindString(out.text())
	}
	for {
		got := out.text()
		for _, jb := range started {
			got += jb.out.text()
		}
		got = strings.TrimSpace(shl.back.Replace(got))
		if matches(got, strings.TrimSpace(want)) {
			return ""
		}
		if len(started) == 0 || ctx.Err() != nil {
			return "got:\n" + got + "\nwant:\n" + want
		}
		pause(ctx)
	}
}

func pause(ctx context.Context) {
	tmr := time.NewTimer(50 * time.Millisecond)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}

// matches compares a text in which "…" stands for any part of a line.
func matches(got, want string) bool {
	pattern := strings.ReplaceAll(regexp.QuoteMeta(want), "…", "[^\n]*")
	return regexp.MustCompile("^" + pattern + "$").MatchString(got)
}

// failure is what run writes after a command that failed.
var failure = regexp.MustCompile(`exit code [1-9].*`)

// readsOnly reports whether a step may be repeated.
func readsOnly(commands []string) bool {
	for _, line := range commands {
		read := strings.HasPrefix(line, "bilberrywick status") || strings.HasPrefix(line, "curl -s 127.0.0.1:7002") ||
			strings.HasPrefix(line, "curl -s 127.0.0.1:7012") || strings.HasPrefix(line, "curl -s 127.0.0.1:7022")
		// A repeated ticket gets the same answer each time.
		if !read && line != "bilberrywick ticket apply ticket-2-drain.json" {
			return false
		}
	}
	return true
}

// run runs one line, and returns its job when it runs in the background.
func (shl *shell) run(ctx context.Context, line string, out *output) *job {
	args, file := shl.parse(line)
	background := args[len(args)-1] == "&"
	if background {
		args = args[:len(args)-1]
	}
	if file != "" || background {
		out = &output{}
	}
	if background {
		return shl.start(args, file, out)
	}
	if code := shl.execute(ctx, args, out, out); code != bwcommand.ExitOK {
		_, _ = fmt.Fprintf(out, "exit code %d\n", code)
	}
	if file != "" {
		shl.write(file, out)
	}
	return nil
}

func (shl *shell) start(args []string, file string, out *output) *job {
	ctx, cancel := context.WithCancel(context.WithoutCancel(shl.t.Context()))
	jb := &job{shl: shl, args: args, out: out, hidden: file != "", cancel: cancel, ended: make(chan struct{})}
	shl.jobs = append(shl.jobs, jb)
	if file != "" {
		shl.env["job "+file] = strconv.Itoa(len(shl.jobs))
	}
	go jb.run(ctx)
	return jb
}

func (jb *job) run(ctx context.Context) {
	defer close(jb.ended)
	jb.code = jb.shl.execute(ctx, jb.args, jb.out, jb.out)
}

// words splits a line at spaces outside of single quotes.
var words = regexp.MustCompile(`'[^']*'|\S+`)

// parse returns the words of a line, with the file that its output goes to.
func (shl *shell) parse(line string) (args []string, file string) {
	list := words.FindAllString(line, -1)
	for ix := 0; ix < len(list); ix++ {
		if list[ix] == ">" || list[ix] == "2>" {
			file = list[ix+1]
			ix++
			continue
		}
		args = append(args, shl.move.Replace(strings.Trim(list[ix], "'")))
	}
	return args, file
}

func (shl *shell) execute(ctx context.Context, args []string, out, logs io.Writer) int {
	switch args[0] {
	case "bilberrywick":
		return shl.command(ctx, args[1:], out, logs)
	case "curl":
		return shl.curl(ctx, args[1:], out)
	case "export":
		name, val, _ := strings.Cut(args[1], "=")
		shl.env[name] = val
	case "sleep":
		time.Sleep(500 * time.Millisecond)
	case "kill":
		shl.each(args[1:], (*job).stop)
	case "wait":
		shl.each(args[1:], (*job).wait)
	case "tail":
		shl.tail(args[len(args)-1], out)
	case "go", "cd":
	default:
		shl.t.Errorf("the test's shell lacks %q", args[0])
	}
	return bwcommand.ExitOK
}

func (jb *job) stop() { jb.cancel() }

func (jb *job) wait() {
	<-jb.ended
	if jb.code != bwcommand.ExitOK {
		jb.shl.t.Errorf("%v: exit code %d\n%s", jb.args, jb.code, jb.out.text())
	}
}

func (shl *shell) each(names []string, do func(*job)) {
	for _, name := range names {
		num, err := strconv.Atoi(strings.TrimPrefix(name, "%"))
		if err != nil || num < 1 || num > len(shl.jobs) {
			shl.t.Fatalf("no job %s", name)
		}
		do(shl.jobs[num-1])
	}
}

// tail writes the last line that is not empty.
func (shl *shell) tail(file string, out io.Writer) {
	num, err := strconv.Atoi(shl.env["job "+file])
	if err != nil {
		shl.t.Fatalf("no job writes %s", file)
	}
	lines := strings.Split(strings.TrimSpace(shl.jobs[num-1].out.text()), "\n")
	_, _ = fmt.Fprintln(out, lines[len(lines)-1])
}

func (shl *shell) write(file string, out *output) {
	if err := os.WriteFile(filepath.Join(shl.dir, file), []byte(out.text()), 0o600); err != nil {
		shl.t.Fatal(err)
	}
}

// command runs the program itself, in the directory of the examples and on the
// test's own address.
func (shl *shell) command(ctx context.Context, args []string, out, logs io.Writer) int {
	var own []string
	for _, arg := range args {
		if strings.HasSuffix(arg, ".json") {
			arg = filepath.Join(shl.dir, arg)
		}
		own = append(own, arg)
	}
	own = append(own, shl.addresses(args)...)
	shown := &relative{dir: shl.dir + string(filepath.Separator), out: out}
	return bwcommand.Run(ctx, bwcommand.Config{
		Output:      shown,
		ErrorOutput: shown,
		Getenv:      shl.getenv,
		CheckTicket: bwlauncher.CheckTicket,
		Commands:    bwlauncher.Commands(bwlauncher.Config{LogOutput: logs}),
	}, own)
}

func (shl *shell) getenv(name string) string { return shl.env[name] }

// addresses are the flags that move a command's defaults to the test's address.
func (shl *shell) addresses(args []string) []string {
	switch strings.Join(args[:min(2, len(args))], " ") {
	case "standin platform":
		return shl.moved("--table=127.0.0.1:8101", "--objects=127.0.0.1:8102", "--list=127.0.0.1:8103")
	case "standin engine":
		return shl.moved("--address=127.0.0.1:8000")
	case "standin app":
		return shl.moved("--address=127.0.0.1:8200")
	case "status", "ticket apply", "ticket list", "ticket show":
		return shl.moved("--address=127.0.0.1:7002")
	}
	return nil
}

func (shl *shell) moved(flags ...string) []string {
	for ix := range flags {
		flags[ix] = shl.move.Replace(flags[ix])
	}
	return flags
}

// relative writes file names as the page shows them.
type relative struct {
	dir string
	out io.Writer
}

// Write replaces the directory's name.
func (rel *relative) Write(data []byte) (int, error) {
	_, err := rel.out.Write(bytes.ReplaceAll(data, []byte(rel.dir), nil))
	return len(data), err
}

// curl sends a request; it knows -s, -H and -d.
func (shl *shell) curl(ctx context.Context, args []string, out io.Writer) int {
	method, body, url := http.MethodGet, "", ""
	head := make(http.Header)
	for ix := 0; ix < len(args); ix++ {
		switch args[ix] {
		case "-s":
		case "-H":
			ix++
			name, val, _ := strings.Cut(args[ix], ": ")
			head.Set(name, val)
		case "-d":
			ix++
			method, body = http.MethodPost, args[ix]
		default:
			url = "http://" + args[ix]
		}
	}
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		shl.t.Fatal(err)
	}
	rq.Header = head
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		_, _ = fmt.Fprintln(out, err)
		return bwcommand.ExitOK
	}
	defer func() { _ = rsp.Body.Close() }()
	_, _ = io.Copy(out, rsp.Body)
	return bwcommand.ExitOK
}
