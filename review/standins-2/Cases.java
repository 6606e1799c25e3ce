import java.io.File;

/** Runs a case and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Cases {
    interface Case {
        /** Returns whether the rule held. */
        boolean holds(Deployment deployment) throws Exception;
    }

    private Cases() {
    }

    static void run(String[] arguments, Case test) {
        int code = 2;
        try (Deployment deployment = new Deployment(new File(arguments[0]))) {
            try {
                code = test.holds(deployment) ? 0 : 1;
            } catch (Throwable failure) {
                deployment.record("could not run: " + failure);
                failure.printStackTrace();
            }
            deployment.record(code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "the case could not run");
        } catch (Throwable failure) {
            failure.printStackTrace();
        }
        System.exit(code);
    }

    static void require(boolean condition, String what) {
        if (!condition) throw new IllegalStateException(what);
    }
}
