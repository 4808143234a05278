// Package docs holds the tests that compare the operators' pages with the code.
package docs
