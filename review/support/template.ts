/** Fills in a settings template as the platform does (DEPLOY.md). */

type Fields = Readonly<Record<string, unknown>>;

const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const PLACEHOLDER = /\{\{([\w.]+)(\|json)?\}\}/g;

export function fillTemplate(template: string, fields: Fields): string {
  const withSections = template.replaceAll(
    SECTION,
    (_match: string, name: string, content: string) =>
      isPresent(valueAt(fields, name)) ? fillTemplate(content, fields) : "",
  );
  return withSections.replaceAll(
    PLACEHOLDER,
    (_match: string, name: string, json: string | undefined) => {
      const value = valueAt(fields, name);
      if (value === undefined) return json === undefined ? "" : "null";
      return json === undefined && typeof value === "string"
        ? value
        : JSON.stringify(value);
    },
  );
}

function isPresent(value: unknown): boolean {
  return value !== undefined && value !== false;
}

function valueAt(fields: Fields, name: string): unknown {
  let value: unknown = fields;
  for (const part of name.split(".")) {
    if (typeof value !== "object" || value === null) return undefined;
    value = (value as Fields)[part];
  }
  return value;
}
