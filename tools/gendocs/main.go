// Command gendocs generates the reference pages for the settings, the configuration
// document and the metrics from the code. Run it from the root of the repository.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// pageMode is the file mode of a newly created page.
const pageMode = 0o644

func main() {
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	for _, p := range pages {
		content, err := p.generate(*root)
		if err == nil {
			err = os.WriteFile(filepath.Join(*root, p.path), []byte(content), pageMode)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "gendocs: %s: %v\n", p.path, err)
			os.Exit(1)
		}
	}
}
