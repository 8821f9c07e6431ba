package daemon

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"github.com/lacewingshift/lacewingshift/catalog"
	"github.com/lacewingshift/lacewingshift/platform"
)

// checkConfig checks a configuration file in the platform's format, the spec of the object
// config/main. settingsFile names the settings of a router, which say which regions have
// data centres; without it each region counts as one that has.
func checkConfig(file, settingsFile string) subcommands.ExitStatus {
	deployed := func(string) bool { return true }
	if settingsFile != "" {
		s, err := platform.LoadSettings(settingsFile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		regions := slices.Collect(maps.Values(s.Regions))
		deployed = func(region string) bool { return slices.Contains(regions, region) }
	}
	spec, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	table, err := platform.DecodeConfig(spec)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return subcommands.ExitFailure
	}
	faults := table.RegionFaults(deployed)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, describeRegionFault(fault))
	}
	if len(faults) > 0 {
		fmt.Fprintf(os.Stderr, "%s has %d faults\n", file, len(faults))
		return subcommands.ExitFailure
	}
	fmt.Println("configuration is valid")
	return subcommands.ExitSuccess
}

// describeRegionFault returns a line for an operator.
func describeRegionFault(fault catalog.RegionFault) string {
	switch {
	case fault.Workspace == "":
		return fmt.Sprintf("route %q: no data centre in its regions %s", fault.Route, strings.Join(fault.Regions, ", "))
	case fault.Route == "":
		return fmt.Sprintf("workspace %q: no data centre in its regions %s", fault.Workspace, strings.Join(fault.Regions, ", "))
	case len(fault.Regions) == 0:
		return fmt.Sprintf("route %q and workspace %q have no region in common", fault.Route, fault.Workspace)
	default:
		return fmt.Sprintf("route %q and workspace %q: no data centre in the common regions %s", fault.Route, fault.Workspace, strings.Join(fault.Regions, ", "))
	}
}
