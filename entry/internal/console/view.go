package console

import (
	"slices"
	"strconv"
	"strings"

	"comfreyrelay.example/relay/document"
)

// sectionView is the template data of one section.
type sectionView struct {
	Title string
	List  string // empty for the top-level fields
	Count int    // number of rows, including the blank one
	Rows  []rowView
}

// rowView is the template data of one list item.
type rowView struct {
	Title    string
	RemoveID string // empty for the top-level fields and for the blank row
	Fields   []fieldView
}

// fieldView is the template data of one control, with the problems of its value.
type fieldView struct {
	ID       string
	Label    string
	Help     string
	Kind     string
	Value    string
	Options  []string
	Messages []string
}

// viewSections returns the sections with each problem at its field. Each list
// ends with a blank row, for a new item.
func viewSections(filled *form, problems []document.Problem) []sectionView {
	var views []sectionView
	for _, sec := range sections {
		if sec.list == "" {
			views = append(views, sectionView{Title: sec.title, Rows: []rowView{viewRow(sec, filled.topLevel, "", "", problems)}})
			continue
		}
		view := sectionView{Title: sec.title, List: sec.list}
		for i, item := range slices.Concat(filled.rows[sec.list], []row{{}}) {
			index := strconv.Itoa(i)
			shown := viewRow(sec, item, sec.list+"."+index+".", "/"+sec.list+"/"+index, problems)
			if i < len(filled.rows[sec.list]) {
				shown.RemoveID = sec.list + "." + index + ".remove"
			}
			view.Rows = append(view.Rows, shown)
		}
		view.Count = len(view.Rows)
		views = append(views, view)
	}
	return views
}

// viewRow returns one row; pointer is the JSON pointer of its object.
func viewRow(sec section, filled row, prefix, pointer string, problems []document.Problem) rowView {
	view := rowView{Title: filled["name"]}
	for _, fld := range sec.fields {
		view.Fields = append(view.Fields, fieldView{
			ID:       prefix + fld.name,
			Label:    fld.label,
			Help:     fld.help,
			Kind:     fld.kind,
			Value:    filled[fld.name],
			Options:  fld.options,
			Messages: messagesAt(pointer+"/"+strings.ReplaceAll(fld.name, ".", "/"), problems),
		})
	}
	return view
}

// messagesAt returns the messages of the problems at or below the pointer.
func messagesAt(pointer string, problems []document.Problem) []string {
	var messages []string
	for _, problem := range problems {
		if isAtOrBelow(pointer, problem.Path()) {
			messages = append(messages, problem.Message()+"; "+problem.Remedy())
		}
	}
	return messages
}

// isAtOrBelow reports whether path equals pointer or is nested in it.
func isAtOrBelow(pointer, path string) bool {
	return path == pointer || strings.HasPrefix(path, pointer+"/")
}

// unmatchedMessages returns the messages of the problems that no field shows.
func unmatchedMessages(filled *form, problems []document.Problem) []string {
	var messages []string
	for _, problem := range problems {
		if !hasField(filled, problem.Path()) {
			messages = append(messages, problem.Path()+": "+problem.Message()+"; "+problem.Remedy())
		}
	}
	return messages
}

// hasField reports whether the form shows a field at or above the path.
func hasField(filled *form, path string) bool {
	for _, sec := range sections {
		count := 1
		if sec.list != "" {
			count = len(filled.rows[sec.list])
		}
		for i := range count {
			pointer := ""
			if sec.list != "" {
				pointer = "/" + sec.list + "/" + strconv.Itoa(i)
			}
			for _, fld := range sec.fields {
				if isAtOrBelow(pointer+"/"+strings.ReplaceAll(fld.name, ".", "/"), path) {
					return true
				}
			}
		}
	}
	return false
}
