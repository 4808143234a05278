package exchange

import "strings"

// splitList returns the items of a header that holds a list.
func splitList(line string) []string {
	var items []string
	for _, item := range strings.Split(line, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
