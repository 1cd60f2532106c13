/** Generates a table row for each field of a settings schema. */
import * as z from "zod";

type JsonSchema = z.core.JSONSchema.JSONSchema;

const LARGEST_INTEGER = Number.MAX_SAFE_INTEGER;

/** Rows of field, type, default, limits and meaning, without duplicates. */
export function settingRows(schema: z.ZodType): string[][] {
  const root = z.toJSONSchema(schema, { io: "input" }) as JsonSchema;
  const rows = collectRows(root, "", true);
  const seen = new Set<string>();
  return rows.filter((row) => {
    const key = row.join("|");
    if (seen.has(key)) return false;
    seen.add(key);
    return true;
  });
}

function collectRows(
  schema: JsonSchema,
  path: string,
  isRequired: boolean,
): string[][] {
  const variants = schema.oneOf ?? schema.anyOf;
  if (variants !== undefined) {
    return variants.flatMap((item) =>
      collectRows(item, appendKind(path, item), isRequired),
    );
  }
  if (schema.type === "object") {
    const required = new Set(schema.required ?? []);
    return Object.entries(schema.properties ?? {}).flatMap(([name, item]) =>
      collectRows(
        item as JsonSchema,
        path === "" ? name : `${path}.${name}`,
        required.has(name),
      ),
    );
  }
  if (schema.type === "array" && isObject(schema.items)) {
    return collectRows(schema.items as JsonSchema, `${path}[]`, true);
  }
  return [rowOf(schema, path, isRequired)];
}

function isObject(items: JsonSchema["items"]): boolean {
  if (typeof items !== "object" || Array.isArray(items)) return false;
  return "properties" in items || "oneOf" in items;
}

/** Appends the constant field that discriminates a union variant. */
function appendKind(path: string, { properties = {} }: JsonSchema): string {
  const constants = Object.values(properties).flatMap((item) =>
    typeof item === "object" && typeof item.const === "string"
      ? [item.const]
      : [],
  );
  const kind = constants.at(0);
  if (kind === undefined) return path;
  return path === "" ? `(${kind})` : `${path}(${kind})`;
}

function rowOf(
  schema: JsonSchema,
  path: string,
  isRequired: boolean,
): string[] {
  const type = typeOf(schema);
  const defaultText =
    schema.default === undefined
      ? isRequired
        ? "required"
        : "none"
      : `\`${JSON.stringify(schema.default)}\``;
  const meaning = schema.description ?? "";
  return [`\`${path}\``, type, defaultText, limitsOf(schema), meaning];
}

function typeOf(schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`${JSON.stringify(schema.const)}\``;
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => `\`${String(value)}\``).join(" or ");
  }
  if (schema.type === "array") return `list of ${itemType(schema)}`;
  return typeof schema.type === "string" ? schema.type : "any";
}

function itemType({ items }: JsonSchema): string {
  return typeof items === "object" && !Array.isArray(items)
    ? typeOf(items)
    : "any";
}

function limitsOf(schema: JsonSchema): string {
  const { minimum, maximum, exclusiveMinimum, minLength, pattern, format } =
    schema;
  const limits = [
    minimum === undefined || minimum === -LARGEST_INTEGER
      ? ""
      : `at least ${minimum}`,
    exclusiveMinimum === undefined ? "" : `above ${exclusiveMinimum}`,
    maximum === undefined || maximum === LARGEST_INTEGER
      ? ""
      : `at most ${maximum}`,
    minLength === undefined ? "" : `length at least ${minLength}`,
    format === undefined ? "" : `a ${format}`,
    pattern === undefined || format !== undefined
      ? ""
      : `matches \`${pattern}\``,
  ];
  return limits.filter((limit) => limit !== "").join(", ") || "–";
}
