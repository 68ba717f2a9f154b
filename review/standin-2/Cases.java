/** Runs a case and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
final class Cases {
    interface Case {
        /** Returns true if the rule held. */
        boolean play(Deployment deployment) throws Exception;
    }

    private Cases() {}

    static void run(String folder, Case play) {
        int exitCode = 2;
        try (Deployment deployment = new Deployment(folder)) {
            try {
                exitCode = play.play(deployment) ? 0 : 1;
                deployment.record.line("the rule %s", exitCode == 0 ? "held" : "was broken");
            } catch (Exception e) {
                deployment.record.line("the case could not run: %s", e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(exitCode);
    }
}
