package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"mulberryscale.example/daemon"
	"mulberryscale.example/keys"
)

const flagDir = "dir"

// Parts of the file names in the directory.
const (
	authorityName = "ca"
	certSuffix    = ".pem"
	keySuffix     = ".key"
)

const dirMode = 0o700

func keysCommand() *cli.Command {
	dir := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: flagDir, Usage: "directory of the key files", Required: true}}
	}
	return &cli.Command{
		Name:  "keys",
		Usage: "make keys for development and small deployments",
		Commands: []*cli.Command{
			{
				Name:   "authority",
				Usage:  "make a certificate authority: ca.pem and ca.key; an existing one is never replaced",
				Flags:  dir(),
				Action: runAuthority,
			},
			{
				Name:      "issue",
				Usage:     "issue certificates for processes: ID.pem and ID.key",
				ArgsUsage: "ID...",
				Flags:     dir(),
				Action:    runIssue,
			},
		},
		Action: func(context.Context, *cli.Command) error {
			return daemon.Usagef("want: mulberryctl keys authority or mulberryctl keys issue")
		},
	}
}

// pairFiles returns the paths of a certificate and its key.
func pairFiles(dir, name string) (certFile, keyFile string) {
	return filepath.Join(dir, name+certSuffix), filepath.Join(dir, name+keySuffix)
}

func runAuthority(_ context.Context, cmd *cli.Command) error {
	if err := checkArgs(cmd, 0, 0); err != nil {
		return err
	}
	dir := cmd.String(flagDir)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return trace.Wrap(err, "step keys.authority")
	}
	certFile, keyFile := pairFiles(dir, authorityName)
	for _, file := range []string{certFile, keyFile} {
		if _, err := os.Stat(file); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("step keys.authority: %s exists; an authority is never replaced", file)
		}
	}
	authority, err := keys.NewDevAuthority()
	if err != nil {
		return err
	}
	if err := keys.WritePair(certFile, keyFile, authority.Pair()); err != nil {
		return err
	}
	return printFiles(cmd, certFile, keyFile)
}

func runIssue(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return daemon.Usagef("want: mulberryctl keys issue --dir DIR ID...")
	}
	dir := cmd.String(flagDir)
	pair, err := keys.ReadPair(pairFiles(dir, authorityName))
	if err != nil {
		return err
	}
	authority, err := keys.LoadAuthority(pair)
	if err != nil {
		return err
	}
	var written []string
	for _, id := range cmd.Args().Slice() {
		if id == authorityName {
			return daemon.Usagef("the id %q is the authority's", id)
		}
		issued, err := authority.Issue(id)
		if err != nil {
			return err
		}
		certFile, keyFile := pairFiles(dir, id)
		if err := keys.WritePair(certFile, keyFile, issued); err != nil {
			return err
		}
		written = append(written, certFile, keyFile)
	}
	return printFiles(cmd, written...)
}

func printFiles(cmd *cli.Command, files ...string) error {
	out := daemon.Table{}
	for _, file := range files {
		out.Rows = append(out.Rows, []string{file})
	}
	return write(cmd, out, map[string][]string{"files": files})
}
