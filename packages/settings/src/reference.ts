/** Reference of all settings as Markdown tables, generated from the schema. */
import { z } from 'zod';

import { callerLimitsSchema } from './gateway-schema';
import { sectionSchemas } from './schema';

/** The part of a JSON Schema property that a table row shows. */
interface Property {
  readonly description?: string;
  readonly default?: unknown;
}

/** Returns one table per section, with each key, its default and its description. */
export function settingsReference(): string {
  return Object.entries(sectionSchemas)
    .map(([section, schema]) => sectionReference(section, schema))
    .join('\n');
}

/** Returns the table of the section with the limits of clients on a deployment's platform. */
export function callerLimitsReference(): string {
  return sectionReference('caller_limits', callerLimitsSchema);
}

function sectionReference(section: string, schema: z.ZodType): string {
  const { properties = {}, required = [] } = z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
  });
  const rows = Object.entries(properties).map(([key, property]) =>
    row(key, property as Property, required.includes(key)),
  );
  return [
    `### [${section}]`,
    '',
    '| key | default | meaning |',
    '| --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

function row(key: string, property: Property, required: boolean): string {
  const defaultText = required ? 'required' : formatDefault(property.default);
  return `| \`${key}\` | ${defaultText} | ${property.description ?? ''} |`;
}

function formatDefault(value: unknown): string {
  if (value === undefined || (Array.isArray(value) && value.length === 0)) {
    return 'none';
  }
  return `\`${JSON.stringify(value)}\``;
}
