// Package settings declares the settings of a program, each with a flag, an
// environment variable and a range of valid values, on top of urfave/cli. A program
// declares them in one place, on one Set:
//
//	set := settings.NewSet("mulberry-entry")
//	listen := set.IPPort("listen", "127.0.0.1:8080", "callers' HTTP address")
//	zone := set.Zone("zone", "availability zone of this instance")
//	command := &cli.Command{Flags: set.Flags(), Action: ...}
//
// The pointers hold the values once Set.Check has returned nil. Check reports all
// mistakes at once. The environment variable of "drain-timeout" is
// MULBERRY_DRAIN_TIMEOUT; a flag overrides its variable. An empty variable counts
// as unset.
package settings
