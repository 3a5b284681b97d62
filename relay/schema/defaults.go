package schema

// FillDefaults sets absent keys of the tree to the schema's "default" values. It
// does not create absent objects.
func (c *Checker) FillDefaults(tree any) {
	c.fillDefaults(c.raw, tree)
}

func (c *Checker) fillDefaults(subschema, tree any) {
	object, ok := tree.(map[string]any)
	if !ok {
		return
	}
	for _, key := range c.knownKeys(subschema) {
		property := c.property(subschema, key)
		if _, present := object[key]; !present {
			if value, has := At(property, []string{"default"}); has {
				object[key] = value
			}
			continue
		}
		c.fillDefaults(property, object[key])
	}
}

// IsString reports whether the schema requires a string at the path.
func (c *Checker) IsString(tokens []string) bool {
	return c.typeAt(tokens) == "string"
}

// typeAt returns the schema's "type" of the value at the path.
func (c *Checker) typeAt(tokens []string) any {
	subschema := c.raw
	for _, token := range tokens {
		holder := c.resolve(subschema)
		if items, ok := At(holder, []string{"items"}); ok {
			subschema = items
			continue
		}
		subschema = c.property(holder, token)
	}
	kind, _ := At(c.resolve(subschema), []string{"type"})
	return kind
}
