/** One error in a settings file; `sesamegrade check --json` prints it as it is. */
export type SettingsFailure =
  | {
      readonly kind: 'unreadable';
      readonly file: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'invalid';
      readonly file: string;
      readonly section: string;
      readonly key: string;
      readonly expected: string;
    }
  | {
      readonly kind: 'missing-secret';
      readonly file: string;
      readonly section: 'secrets';
      readonly key: string;
      readonly expected: string;
    };
