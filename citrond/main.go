// Command citrond is the scheduler daemon of one entry VM. The command run starts that of package daemon; the command
// platform starts that of package entry, adapted by package platform to the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citroncross/citroncross/citron/conf"
	"github.com/citroncross/citroncross/citron/daemon"
	"github.com/citroncross/citroncross/citron/serve"
	"github.com/citroncross/citroncross/platform"
	"github.com/citroncross/citroncross/schema/prefs"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	serve.DisableFrameworkLogs()
	app := kingpin.New("citrond", "The scheduler daemon of one entry VM.")
	run := app.Command("run", "Run the daemon until SIGINT or SIGTERM.")
	runFile := run.Arg("settings", "TOML settings file.").Required().String()
	check := app.Command("check", "Check a settings file and report every problem.")
	checkPlatform := check.Flag("platform", "Check a settings file that the users' platform has written.").Bool()
	checkFile := check.Arg("settings", "TOML settings file.").Required().String()
	onPlatform := app.Command("platform", "Run the daemon on the users' platform, which names its settings file in "+platform.SettingsVariable+".")
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		os.Exit(runDaemon(*runFile))
	case onPlatform.FullCommand():
		os.Exit(runOnPlatform(os.Getenv(platform.SettingsVariable)))
	case check.FullCommand():
		os.Exit(checkSettings(*checkFile, *checkPlatform))
	}
}

// checkSettings reports every problem of a settings file.
func checkSettings(file string, ofPlatform bool) (code int) {
	if ofPlatform {
		if _, err := platform.ReadSettings(file); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitSettings
		}
	} else if _, code := readSettings(file); code != exitOK {
		return code
	}
	fmt.Println("settings are valid")
	return exitOK
}

// readSettings reads a settings file and prints every problem.
func readSettings(file string) (*prefs.Daemon, int) {
	settings, problems := conf.ReadDaemon(file)
	if len(problems) == 0 {
		return settings, exitOK
	}
	fmt.Fprintln(os.Stderr, problems.Error())
	return nil, exitSettings
}

// runDaemon runs until a signal or a drain request on the admin port. A signal during the stop ends the process at once.
func runDaemon(file string) int {
	settings, code := readSettings(file)
	if code != exitOK {
		return code
	}
	daemon.LimitHeap(settings)
	d, err := daemon.New(settings, os.Stderr)
	if err == nil {
		err = d.Start()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-d.Done():
	}
	go func() {
		<-signals
		os.Exit(exitFailed)
	}()
	if err := d.Stop(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return exitOK
}

// runOnPlatform runs until SIGINT or SIGTERM. It ignores SIGHUP, which means that the settings file has changed, since
// none of the settings that it uses can change at run time.
func runOnPlatform(file string) int {
	settings, err := platform.ReadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	signal.Ignore(syscall.SIGHUP)
	settings.LimitHeap()
	d := platform.New(settings, os.Stdout)
	if err := d.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	<-signals
	d.Stop()
	return exitOK
}
