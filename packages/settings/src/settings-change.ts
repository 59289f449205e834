/** Differences between two versions of a settings file, for the log of a reload. */

/** A key whose value changed. Values are JSON; undefined where the key is absent. */
export interface SettingsChange {
  readonly section: string;
  readonly key: string;
  readonly before: string | undefined;
  readonly after: string | undefined;
}

type Sections = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** Lists the keys whose values differ, grouped by section. */
export function settingsChanges(
  before: Sections,
  after: Sections,
): SettingsChange[] {
  const sections = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...sections].flatMap(section => {
    const [previous, current] = [before[section] ?? {}, after[section] ?? {}];
    const keys = new Set([...Object.keys(previous), ...Object.keys(current)]);
    return [...keys]
      .map(key => ({
        section,
        key,
        before: valueText(previous[key]),
        after: valueText(current[key]),
      }))
      .filter(change => change.before !== change.after);
  });
}

function valueText(value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value);
}
