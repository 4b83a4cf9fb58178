import java.lang.reflect.Method;
import java.nio.file.Path;

/** Runs the case of one class: {@code Main CLASS FOLDER}. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. */
public final class Main {
    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Method holds = Class.forName(arguments[0]).getDeclaredMethod("holds", Record.class, boolean.class);
        Bench.start(() -> {
            Instance.sleep(110_000);
            record.show("not finished after 110 s");
            System.exit(2);
        });
        record.show("case " + arguments[0] + (trouble ? "" : ", without the disruption"));
        int code;
        try {
            boolean held = (boolean) holds.invoke(null, record, trouble);
            record.show(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Exception failure) {
            record.show("the case could not run: " + failure);
            failure.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
