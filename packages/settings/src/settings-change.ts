/** What differs between two readings of a settings file. */

/** A key whose value is another one now; values as text. */
export interface SettingsChange {
  readonly section: string;
  readonly key: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

type Sections = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** Lists the keys that differ, section by section. */
export function settingsChanges(
  before: Sections,
  after: Sections,
): SettingsChange[] {
  const sections = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...sections].flatMap(section => {
    const [old, young] = [before[section] ?? {}, after[section] ?? {}];
    const keys = new Set([...Object.keys(old), ...Object.keys(young)]);
    return [...keys]
      .map(key => ({
        section,
        key,
        before: valueText(old[key]),
        after: valueText(young[key]),
      }))
      .filter(change => change.before !== change.after);
  });
}

function valueText(value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value);
}
