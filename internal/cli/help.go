package cli

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
)

func writeGroupHelp(w io.Writer, c *command, path string) {
	fmt.Fprintf(w, "%s\n\nUsage: %s SUBCOMMAND [flags]\n\nSubcommands:\n", c.summary, path)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range c.subs {
		fmt.Fprintf(tw, "  %s\t%s\n", s.name, s.summary)
	}
	tw.Flush()
	writeTail(w, c)
	fmt.Fprintf(w, "\nEvery subcommand takes -h. %s -version prints the version.\n", "marlpass")
}

func writeLeafHelp(w io.Writer, c *command, path string, fs *flag.FlagSet) {
	usage := path + " [flags]"
	if c.args != "" {
		usage += " " + c.args
	}
	fmt.Fprintf(w, "%s\n\nUsage: %s\n\nFlags:\n", c.summary, usage)
	fs.SetOutput(w)
	fs.PrintDefaults()
	writeTail(w, c)
}

func writeTail(w io.Writer, c *command) {
	if c.detail != "" {
		fmt.Fprintf(w, "\n%s\n", c.detail)
	}
	fmt.Fprintln(w, "\nExamples:")
	for _, e := range c.examples {
		fmt.Fprintln(w, "  "+e)
	}
	fmt.Fprint(w, "\n"+exitCodes)
}
